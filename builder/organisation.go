package builder

import (
	"fmt"

	"github.com/amaranthcart/amaranthcart/internal/config/decoder"
	"github.com/amaranthcart/amaranthcart/internal/config/validator"
)

// MinKey is the minimum length of a plain key in bytes. Digests are stored without
// salt, so short keys could be guessed from them.
const MinKey = 16

// OrganisationPart declares an organisation.
type OrganisationPart struct {
	organisation validator.Organisation
	// short holds the indexes of plain keys that are too short.
	short []int
}

// OrganisationOption sets one property of an organisation.
type OrganisationOption func(*OrganisationPart)

// Organisation declares an organisation, with the share 1 unless the option Share is
// given.
func Organisation(name string, options ...OrganisationOption) *OrganisationPart {
	p := &OrganisationPart{organisation: validator.Organisation{
		Name:  validator.OrganisationName(name),
		Share: 1,
		Keys:  []string{},
	}}
	for _, o := range options {
		o(p)
	}
	return p
}

func (p *OrganisationPart) add(c *Configuration) {
	at := decoder.ItemPath("$.organisations", len(c.document.Organisations))
	for _, i := range p.short {
		c.problems.Add(decoder.ItemPath(at+".keys", i), "a short key", fmt.Sprintf("keys of at least %d bytes", MinKey))
	}
	c.document.Organisations = append(c.document.Organisations, p.organisation)
}

// Share sets the weight in fair sharing.
func Share(weight float64) OrganisationOption {
	return func(p *OrganisationPart) { p.organisation.Share = weight }
}

// Key adds an API key given in plain text, of at least MinKey bytes. Only its SHA-256
// digest is printed.
func Key(plain string) OrganisationOption {
	return func(p *OrganisationPart) {
		if len(plain) < MinKey {
			p.short = append(p.short, len(p.organisation.Keys))
		}
		p.organisation.Keys = append(p.organisation.Keys, validator.HashKey(plain))
	}
}

// KeyHash adds an API key given as its hex SHA-256 digest.
func KeyHash(digest string) OrganisationOption {
	return func(p *OrganisationPart) {
		p.organisation.Keys = append(p.organisation.Keys, digest)
	}
}

// Limit bounds the concurrent requests.
func Limit(requests int) OrganisationOption {
	return func(p *OrganisationPart) { p.organisation.Limit = requests }
}

// Rate bounds the requests a second.
func Rate(requests float64) OrganisationOption {
	return func(p *OrganisationPart) { p.organisation.Rate = requests }
}
