package ganger

import "slices"

// candidates returns the candidates offered for a gang that lie in its regions. A candidate of
// unknown region lies in none.
func (g *Ganger) candidates(x *gang) []Candidate {
	all := g.offers[x.Model]
	if len(x.Regions) == 0 {
		return all
	}
	return slices.DeleteFunc(slices.Clone(all), func(c Candidate) bool { return c.Region == "" || !slices.Contains(x.Regions, c.Region) })
}
