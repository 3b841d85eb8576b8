package trial

import ("testing";"fmt")

func TestTmpClaims(t *testing.T) {
	for i, f := range []func(uint64,bool) ClaimsConfig{AnnexSurge, AnnexHot} {
		for _, on := range []bool{false, true} {
			for _, gives := range []bool{false,true} {
			for seed := range uint64(2) {
				c := f(seed, on); c.GivesUp=gives
				r := RunClaims(c)
				fmt.Printf("play %d claims %v gives %v good %.0f served %d told %d %.2f claims %d hon %.2f att/served %.2f small %.3f hot %.3f hotclaims %.2f busy %.2f B/s %.0f p99 %v\n", i, on, gives, r.Goodput, r.Served, r.Told, r.ToldServed, r.Claims,r.Honoured, r.AttemptsPerServed, r.SmallInTime, r.HotInTime, r.HotClaims, r.Busy, r.BytesPerEntry, r.Latency99)
			}}
		}
	}
}
