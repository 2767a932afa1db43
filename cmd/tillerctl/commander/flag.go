package commander

import (
	"context"

	"github.com/go-faster/errors"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/editor"
)

// flagCommand sets a true-or-false field of one failure domain or upstream.
type flagCommand struct {
	editOptions
	Args struct {
		Name string `positional-arg-name:"NAME" description:"name in the document"`
	} `positional-args:"yes" required:"yes"`

	// list and field say where the field stands in the document, and value what it is set to.
	list, field string
	value       bool
}

func (f *flagCommand) run(ctx context.Context, c *Commander) error {
	return c.edit(ctx, f.editOptions, func(doc *tiller.Document, text []byte) ([]byte, error) {
		is, ok := f.present(doc)
		switch {
		case !ok:
			return nil, badInput(errors.Errorf("the document has no %s[%s]", f.list, f.Args.Name))
		case is == f.value:
			return text, nil
		}
		return editor.SetField(text, f.list, f.Args.Name, f.field, f.value)
	})
}

// present returns the value of the field in a document, and whether the document has the element.
func (f *flagCommand) present(doc *tiller.Document) (value, ok bool) {
	for _, d := range doc.Domains {
		if f.list == "Domains" && d.Name == f.Args.Name {
			return d.Out, true
		}
	}
	for _, u := range doc.Upstreams {
		if f.list == "Upstreams" && u.Name == f.Args.Name {
			return u.Leaving, true
		}
	}
	return false, false
}
