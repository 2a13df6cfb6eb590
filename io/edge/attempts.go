package edge

import "context"

// attemptSet holds the cancel functions of a request's attempts. The response of an attempt is valid until the attempt is
// canceled, so an attempt whose response is forwarded is canceled only after that.
type attemptSet struct{ cancels []context.CancelFunc }

// add returns the context of a new attempt, and its index.
func (s *attemptSet) add(ctx context.Context) (context.Context, int) {
	ctx, cancel := context.WithCancel(ctx)
	s.cancels = append(s.cancels, cancel)
	return ctx, len(s.cancels) - 1
}

// choose cancels all attempts except one whose response the reply forwards. That one is canceled by the reply's release.
func (s *attemptSet) choose(r *reply) {
	for i, cancel := range s.cancels {
		if r.response != nil && r.attempt == i {
			r.release = cancel
			continue
		}
		cancel()
	}
}
