package merger

import (
	"cmp"
	"slices"

	tiller "github.com/carawaytiller/carawaytiller"
)

// Part is the outcome of one shard.
type Part struct {
	Shard    string
	Answered bool
	Items    []tiller.Item
	// Reason says why there is no result. It is set only when Answered is false.
	Reason tiller.Reason
}

// Coverage counts the answered shards and lists the missing ones, ordered by name.
func Coverage(parts []Part) tiller.Coverage {
	c := tiller.Coverage{Asked: len(parts)}
	for _, p := range parts {
		if p.Answered {
			c.Answered++
			continue
		}
		c.Missing = append(c.Missing, tiller.MissingShard{Shard: p.Shard, Reason: p.Reason})
	}
	slices.SortFunc(c.Missing, func(a, b tiller.MissingShard) int { return cmp.Compare(a.Shard, b.Shard) })
	return c
}

// Items merges the items of the answered parts by descending score, then by ascending key. Each key appears
// once, with its greatest score. At most limit items are returned; a limit of 0 or less means all. The lists of
// the parts are not changed: those that are out of order are sorted in a copy.
func Items(parts []Part, limit int) []tiller.Item {
	lists := make([][]tiller.Item, 0, len(parts))
	total := 0
	for _, p := range parts {
		if p.Answered && len(p.Items) > 0 {
			lists = append(lists, sortedItems(p.Items))
			total += len(p.Items)
		}
	}
	if limit <= 0 || limit > total {
		limit = total
	}
	return mergeSorted(lists, limit)
}

// mergeSorted merges sorted lists with a heap ordered by their first items.
func mergeSorted(lists [][]tiller.Item, limit int) []tiller.Item {
	merged := make([]tiller.Item, 0, limit)
	seen := make(map[string]struct{}, limit)
	for i := len(lists)/2 - 1; i >= 0; i-- {
		siftDown(lists, i)
	}
	for len(lists) > 0 && len(merged) < limit {
		head := lists[0][0]
		if _, ok := seen[head.Key]; !ok {
			seen[head.Key] = struct{}{}
			merged = append(merged, head)
		}
		lists[0] = lists[0][1:]
		if len(lists[0]) == 0 {
			lists[0] = lists[len(lists)-1]
			lists = lists[:len(lists)-1]
		}
		siftDown(lists, 0)
	}
	return merged
}

func siftDown(lists [][]tiller.Item, i int) {
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(lists); child++ {
			if compareItems(lists[child][0], lists[least][0]) < 0 {
				least = child
			}
		}
		if least == i {
			return
		}
		lists[i], lists[least] = lists[least], lists[i]
		i = least
	}
}

func sortedItems(items []tiller.Item) []tiller.Item {
	if slices.IsSortedFunc(items, compareItems) {
		return items
	}
	items = slices.Clone(items)
	slices.SortStableFunc(items, compareItems)
	return items
}

func compareItems(a, b tiller.Item) int {
	return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.Key, b.Key))
}
