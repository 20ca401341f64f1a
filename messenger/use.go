package messenger

import (
	"cmp"
	"slices"

	"github.com/vmihailenco/msgpack/v5"
)

// MaxUses is the number of accounts that a Share lists. The uses of the others are summed.
const MaxUses = 64

// maxWork bounds one use, in milliseconds, so that sums can't overflow.
const maxWork = 1 << 40

// Use is the work that requests of a client account have used, decayed since.
type Use struct {
	Account uint64 // hash of the account's name; zero stands for all accounts that are not listed
	Work    int    // milliseconds
}

// useFields is the number of fields of a Use on the wire.
const useFields = 2

// EncodeMsgpack encodes each field in as few bytes as its value allows.
func (u *Use) EncodeMsgpack(enc *msgpack.Encoder) error {
	err := enc.EncodeArrayLen(useFields)
	if err == nil {
		err = enc.EncodeUint(u.Account)
	}
	if err == nil {
		err = enc.EncodeInt(int64(u.Work))
	}
	return err
}

// DecodeMsgpack decodes a Use. Fields that later releases append are skipped.
func (u *Use) DecodeMsgpack(dec *msgpack.Decoder) error {
	n, err := dec.DecodeArrayLen()
	if err != nil {
		return err
	}
	for i := range n {
		switch i {
		case 0:
			u.Account, err = dec.DecodeUint64()
		case 1:
			u.Work, err = dec.DecodeInt()
		default:
			err = dec.Skip()
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// SumUses adds up uses by account and returns the largest MaxUses accounts, sorted by account,
// with the sum of the others first. Negative sums count as zero.
func SumUses(all ...[]Use) []Use {
	work := map[uint64]int{}
	for _, uses := range all {
		for _, u := range uses {
			work[u.Account] += min(max(u.Work, -maxWork), maxWork)
		}
	}
	rest := max(0, work[0])
	delete(work, 0)
	out := make([]Use, 0, len(work)+1)
	for account, w := range work {
		if w > 0 {
			out = append(out, Use{Account: account, Work: w})
		}
	}
	if len(out) > MaxUses {
		slices.SortFunc(out, func(x, y Use) int { return cmp.Or(cmp.Compare(y.Work, x.Work), cmp.Compare(x.Account, y.Account)) })
		for _, u := range out[MaxUses:] {
			rest += u.Work
		}
		out = out[:MaxUses]
	}
	if rest > 0 {
		out = append(out, Use{Work: rest})
	}
	slices.SortFunc(out, func(x, y Use) int { return cmp.Compare(x.Account, y.Account) })
	return out
}
