package result

import (
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

const (
	page    = "../docs/RESULT-CODES.md"
	columns = 7
)

// pageRow is a row of the table of result codes in the page docs/RESULT-CODES.md.
type pageRow struct {
	number, name, status, ran, retryable, sentence, advice string
}

// readPage returns the rows of the table of result codes in the page, in their order.
func readPage(t *testing.T) []pageRow {
	t.Helper()
	data, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	var rows []pageRow
	for line := range strings.Lines(string(data)) {
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
		if len(cells) != columns {
			continue
		}
		for i, cell := range cells {
			cells[i] = strings.TrimSpace(cell)
		}
		if _, err := strconv.Atoi(cells[0]); err == nil {
			rows = append(rows, pageRow{cells[0], cells[1], cells[2], cells[3], cells[4], cells[5], cells[6]})
		}
	}
	return rows
}

// sentCodes returns the numbers of the codes that a router may send, in ascending order: all
// codes of the schema except CODE_UNSPECIFIED.
func sentCodes() []int32 {
	var numbers []int32
	for number := range v1.Code_name {
		if v1.Code(number) != v1.Code_CODE_UNSPECIFIED {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	return numbers
}

func TestEveryCodeIsDescribed(t *testing.T) {
	is := is.New(t)
	for number := range v1.Code_name {
		description, ok := descriptions[v1.Code(number)]
		is.True(ok)                                                     // every code of the schema has a description
		is.True(description.Status >= 200 && description.Status <= 599) // a valid HTTP status
		is.True(strings.HasSuffix(description.Sentence, "."))           // a whole sentence
	}
	is.Equal(len(descriptions), len(v1.Code_name)) // no description of a code that is not in the schema
}

// The page with the result codes must list all codes of the schema, in order of their numbers and
// with the descriptions that routers send.
func TestPageMatchesSchema(t *testing.T) {
	rows := readPage(t)
	numbers := sentCodes()
	if len(rows) != len(numbers) {
		t.Fatalf("%s has %d codes, the schema %d", page, len(rows), len(numbers))
	}
	for i, number := range numbers {
		code := v1.Code(number)
		t.Run(code.String(), func(t *testing.T) {
			is := is.New(t)
			description := Describe(code)
			retryable := "no"
			if description.Retryable {
				retryable = "yes"
			}
			is.Equal(rows[i].number, strconv.Itoa(int(number)))
			is.Equal(rows[i].name, code.String())
			is.Equal(rows[i].status, strconv.Itoa(description.Status))
			is.Equal(rows[i].retryable, retryable)
			is.Equal(rows[i].sentence, description.Sentence)
			is.True(rows[i].advice != "") // advice to the caller
		})
	}
}

// For each code, the page must list the possible values of Ran by their names in the schema.
func TestPageNamesValuesOfRan(t *testing.T) {
	for _, row := range readPage(t) {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			last := v1.Ran_RAN_UNSPECIFIED
			for _, name := range strings.Split(row.ran, ", ") {
				ran := v1.Ran(v1.Ran_value[name])
				is.True(ran > last) // a name of the schema, listed once and in the schema's order
				last = ran
			}
		})
	}
}

func TestUnknownCodeIsDescribedAsInternal(t *testing.T) {
	is := is.New(t)
	is.Equal(Describe(v1.Code(9999)), Describe(v1.Code_INTERNAL))
}
