// Package builder generates amaranthcart configurations.
//
// An operator's program declares classes, organisations, models and services
// and prints the JSON document, which amaranthctl checks and applies.
//
// # Usage
//
//	chat := builder.Class("chat", builder.Tier(0), builder.First(400*time.Millisecond), builder.Wait(2*time.Second))
//	letter := builder.Class("letter", builder.Tier(3), builder.Total(5*time.Minute), builder.Wait(10*time.Minute))
//	c := builder.New(
//		chat, letter,
//		builder.Organisation("parents", builder.Share(3), builder.KeyHash(hash)),
//		builder.Model("story-8b", chat, builder.Also(letter)),
//		builder.Service("shop", chat, builder.Once("POST", "/renew")),
//	)
//	if err := c.Print(os.Stdout); err != nil {
//		log.Fatal(err) // lists every problem
//	}
//
// Classes are passed as values and not by name, so that the compiler finds a
// misspelt reference. The order of the parts is kept, and the same program always
// prints the same bytes.
package builder

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/amaranthcart/amaranthcart/internal/config/decoder"
	"github.com/amaranthcart/amaranthcart/internal/config/validator"
)

// Part is a class, an organisation, a model, a service, a placement or the bound
// on concurrent weight loads.
type Part interface {
	add(c *Configuration)
}

// Problem is one fault of a configuration: its JSON path, the value found and
// what is allowed.
type Problem = decoder.Problem

// InvalidError lists all faults of a configuration.
type InvalidError struct{ Problems []Problem }

// Error returns a text with one fault a line.
func (e *InvalidError) Error() string {
	l := []string{fmt.Sprintf("configuration has %d problems:", len(e.Problems))}
	if len(e.Problems) == 1 {
		l[0] = "configuration has 1 problem:"
	}
	for _, p := range e.Problems {
		l = append(l, p.String())
	}
	return strings.Join(l, "\n")
}

// Configuration is a complete configuration document.
type Configuration struct {
	document validator.Document
	problems decoder.Problems
}

// New returns a configuration of the parts. Problems and Print report its faults.
func New(parts ...Part) *Configuration {
	c := &Configuration{document: validator.Document{
		Classes:       []validator.Class{},
		Organisations: []validator.Organisation{},
		Models:        []validator.Model{},
		Services:      []validator.Service{},
	}}
	for _, p := range parts {
		p.add(c)
	}
	return c
}

// Problems returns all faults of the configuration, except that the document is too
// large, which only Print finds.
func (c *Configuration) Problems() []Problem {
	l := c.problems.List()
	known := make(map[string]bool)
	for _, p := range l {
		known[p.Path] = true
	}
	for _, p := range validator.Check(&c.document) {
		if !known[p.Path] {
			l = append(l, p)
		}
	}
	return l
}

// Print writes the configuration as indented JSON. When there is any problem, it writes
// nothing and returns an *InvalidError.
func (c *Configuration) Print(w io.Writer) error {
	if l := c.Problems(); len(l) > 0 {
		return &InvalidError{Problems: l}
	}
	data, err := json.MarshalIndent(c.document, "", "  ")
	if err != nil {
		return fmt.Errorf("writing the configuration: %w", err)
	}
	// Problems has found all other faults, so this can only find that the document is
	// too large.
	if _, l := validator.Decode(data); len(l) > 0 {
		return &InvalidError{Problems: l}
	}
	if _, err := w.Write(append(data, '\n')); err != nil {
		return fmt.Errorf("printing the configuration: %w", err)
	}
	return nil
}
