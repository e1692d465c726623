package pick_test

import (
	"cmp"
	"slices"
)

// oracle is a picker that knows all slots and the service time of each request. It serves
// the most urgent requests first, then the shortest ones, and none that would be late.
type oracle struct {
	*sim
	free    int
	waiting []*simRequest
}

func (o *oracle) arrive(r *simRequest) {
	o.waiting = append(o.waiting, r)
	o.serve()
}

func (o *oracle) serve() {
	o.waiting = slices.DeleteFunc(o.waiting, func(r *simRequest) bool { return o.now.Add(r.service).After(r.SoftDeadline) })
	slices.SortStableFunc(o.waiting, func(a, b *simRequest) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.service, b.service))
	})
	for o.free > 0 && len(o.waiting) > 0 {
		r := o.waiting[0]
		o.waiting = o.waiting[1:]
		o.free--
		o.after(r.service, func() {
			o.free++
			r.recordServed()
			o.serve()
		})
	}
}
