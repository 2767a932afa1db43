package sampler

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// contentFunc generates the content of a record: its kind, which prefixes the key, its text and its fields.
type contentFunc func(r *rand.Rand) (kind, text string, fields map[string][]string)

// ingredients lists ingredients and the allergens that each contains.
var ingredients = []struct {
	name      string
	allergens []string
}{
	{"sesame seeds", []string{"sesame"}},
	{"tahini", []string{"sesame"}},
	{"wheat flour", []string{"gluten"}},
	{"rye flour", []string{"gluten"}},
	{"barley", []string{"gluten"}},
	{"butter", []string{"milk"}},
	{"cream", []string{"milk"}},
	{"eggs", []string{"egg"}},
	{"hazelnuts", []string{"nuts"}},
	{"almonds", []string{"nuts"}},
	{"soy sauce", []string{"soy", "gluten"}},
	{"tofu", []string{"soy"}},
	{"salmon", []string{"fish"}},
	{"prawns", []string{"crustaceans"}},
	{"celery", []string{"celery"}},
	{"mustard", []string{"mustard"}},
	{"rice", nil},
	{"lentils", nil},
	{"caraway", nil},
	{"carrots", nil},
	{"onions", nil},
	{"apples", nil},
	{"honey", nil},
	{"lemon", nil},
}

var (
	styles = []string{"Coastal", "Harvest", "Winter", "Market", "Smoked", "Golden", "Country", "Spiced"}
	dishes = []string{"loaf", "soup", "noodles", "salad", "pie", "stew", "dumplings", "biscuits", "porridge"}
	// clauseSubjects lists the subjects of clauses of an agreement, each with the unit of its number.
	clauseSubjects = []struct{ name, unit string }{
		{"bridging pay", "weeks"},
		{"notice period", "weeks"},
		{"overtime", "hours"},
		{"shift allowance", "percent"},
		{"annual leave", "days"},
		{"redundancy pay", "weeks"},
		{"training time", "days"},
		{"sick pay", "weeks"},
		{"travel time", "hours"},
		{"night work", "hours"},
		{"parental leave", "weeks"},
		{"standby duty", "hours"},
	}
	employers = []string{"Harbour", "Ferry", "Library", "Hospital", "Railway", "Theatre", "Council", "College"}
	trades    = []string{"crews", "porters", "clerks", "drivers", "cleaners", "technicians", "teachers"}
)

// newRecipe generates a recipe with its ingredients and allergens.
func newRecipe(r *rand.Rand) (kind, text string, fields map[string][]string) {
	names, allergens := pickIngredients(r)
	title := pickWord(r, styles) + " " + pickWord(r, dishes)
	text = fmt.Sprintf("%s for %d people.", title, 2+r.IntN(10))
	return "recipe", text, map[string][]string{"Ingredients": names, "Allergens": allergens}
}

// newLabel generates a food label that declares all allergens of its ingredients.
func newLabel(r *rand.Rand) (kind, text string, fields map[string][]string) {
	names, allergens := pickIngredients(r)
	declaration := "Free of declared allergens."
	if len(allergens) > 0 {
		declaration = "Contains " + strings.Join(allergens, ", ") + "."
	}
	text = fmt.Sprintf("%s %s, %d g. %s", pickWord(r, styles), pickWord(r, dishes), 100+50*r.IntN(9), declaration)
	return "label", text, map[string][]string{"Ingredients": names, "Allergens": allergens}
}

// newAgreement generates an agreement with its clauses.
func newAgreement(r *rand.Rand) (kind, text string, fields map[string][]string) {
	var subjects, sentences []string
	for _, i := range r.Perm(len(clauseSubjects))[:3+r.IntN(4)] {
		subjects = append(subjects, clauseSubjects[i].name)
		sentences = append(sentences, fmt.Sprintf("%s: %d %s.", clauseSubjects[i].name, 2+r.IntN(30), clauseSubjects[i].unit))
	}
	text = fmt.Sprintf("%s agreement for %s. %s", pickWord(r, employers), pickWord(r, trades), strings.Join(sentences, " "))
	return "agreement", text, map[string][]string{"Clauses": subjects}
}

// pickIngredients returns randomly chosen ingredients and the allergens that they contain, without duplicates.
func pickIngredients(r *rand.Rand) (names, allergens []string) {
	seen := map[string]bool{}
	for _, i := range r.Perm(len(ingredients))[:3+r.IntN(4)] {
		names = append(names, ingredients[i].name)
		for _, a := range ingredients[i].allergens {
			if !seen[a] {
				seen[a] = true
				allergens = append(allergens, a)
			}
		}
	}
	return names, allergens
}

// pickWord returns a random element of words.
func pickWord(r *rand.Rand, words []string) string {
	return words[r.IntN(len(words))]
}
