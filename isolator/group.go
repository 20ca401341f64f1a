package isolator

import (
	"cmp"
	"slices"
	"time"

	"bramleyshunt/messenger"
)

// Isolated returns the groups of isolated parts and the parts under suspicion. Parts that
// share all their crashes and requests form one group, of which a request must have all
// parts to be held back: another request then shows which of them crashes targets. Parts that were answered
// before the crashes are left out if others were not. A part whose crashes are explained by
// other parts is not isolated.
func (i *Isolator) Isolated(now time.Time) *messenger.Isolated {
	out := &messenger.Isolated{}
	var isolated []*Part
	for _, p := range i.parts {
		if p.Until > 0 {
			isolated = append(isolated, p)
		}
		if len(p.Crashes) >= minSuspected {
			out.Suspected = append(out.Suspected, p.ID)
		}
	}
	slices.SortFunc(isolated, func(a, b *Part) int {
		return cmp.Or(a.compareKnown(b), cmp.Compare(len(b.Crashes), len(a.Crashes)), cmp.Compare(a.ID, b.ID))
	})
	for _, p := range causes(isolated) {
		out.Groups = append(out.Groups, groups(p, isolated)...)
	}
	out.Groups = slices.DeleteFunc(out.Groups, func(g messenger.PartGroup) bool { return g.Until <= now.UnixNano() })
	slices.SortFunc(out.Groups, func(a, b messenger.PartGroup) int { return cmp.Compare(a.Parts[0], b.Parts[0]) })
	for n := range out.Groups {
		i.setClaim(&out.Groups[n])
	}
	i.limitSuspected(out)
	return out
}

// causes returns the parts that together explain the crashes of all, of parts with the same
// crashes the first one.
func causes(parts []*Part) []*Part {
	var out []*Part
	for _, p := range parts {
		if len(out) == 0 || !p.explained(out) {
			out = append(out, p)
		}
	}
	for n := len(out) - 1; n >= 0 && len(out) > 1; n-- {
		if others := slices.Delete(slices.Clone(out), n, n+1); out[n].explained(others) {
			out = others
		}
	}
	return out
}

// explained reports whether other parts share almost all crashes of a part.
func (p *Part) explained(others []*Part) bool {
	if p.Known {
		return p.beyond(others) < unexplainedOfKnown
	}
	return p.beyond(others) < unexplained
}

// groups returns the groups of a part and those with the same crashes. Parts are in one group
// if at each crash a request had them both.
func groups(first *Part, parts []*Part) []messenger.PartGroup {
	var tied []*Part
	for _, p := range parts {
		if len(p.Crashes) == len(first.Crashes) && p.Known == first.Known && p.beyond([]*Part{first}) == 0 {
			tied = append(tied, p)
		}
	}
	var out []messenger.PartGroup
	for len(tied) > 0 {
		lead := tied[0]
		g := messenger.PartGroup{Crashes: len(first.Crashes), Trial: lead.Node, Doubtful: lead.Known}
		tied = slices.DeleteFunc(tied, func(p *Part) bool {
			if !p.joint(lead) {
				return false
			}
			g.Parts, g.Until = append(g.Parts, p.ID), max(g.Until, p.Until)
			return true
		})
		out = append(out, g)
	}
	for n := range out {
		out[n].Doubtful = out[n].Doubtful || len(out) > 1
	}
	return out
}

// joint reports whether at each crash of a part a request had another part too.
func (p *Part) joint(o *Part) bool {
	for _, c := range p.Crashes {
		n := slices.IndexFunc(o.Crashes, func(d Crash) bool { return d.ID == c.ID })
		if n < 0 || !slices.ContainsFunc(c.Requests, func(r uint64) bool { return slices.Contains(o.Crashes[n].Requests, r) }) {
			return false
		}
	}
	return true
}

// limitSuspected sorts the suspected parts and keeps those reported last.
func (i *Isolator) limitSuspected(v *messenger.Isolated) {
	if len(v.Suspected) > maxSuspected {
		slices.SortFunc(v.Suspected, func(a, b uint64) int { return cmp.Compare(i.parts[b].Seq, i.parts[a].Seq) })
		v.Suspected = v.Suspected[:maxSuspected]
	}
	slices.Sort(v.Suspected)
}

// beyond returns the number of crashes that no part of a list shares.
func (p *Part) beyond(list []*Part) int {
	n := 0
	for _, c := range p.Crashes {
		if !slices.ContainsFunc(list, func(o *Part) bool { return o.has(c) }) {
			n++
		}
	}
	return n
}

// compareKnown orders parts that were never answered before others.
func (p *Part) compareKnown(o *Part) int {
	switch {
	case p.Known == o.Known:
		return 0
	case o.Known:
		return -1
	default:
		return 1
	}
}

func (p *Part) has(c Crash) bool {
	return slices.ContainsFunc(p.Crashes, func(o Crash) bool { return o.ID == c.ID })
}
