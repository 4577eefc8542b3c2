package wire

import "testing"

// Guards against a panic on an arbitrary request body, and against acceptance of a job with an invalid
// id, number of tasks or number of CPUs.
func FuzzDecodeJob(f *testing.F) {
	good, err := Marshal(Job{ID: "wk-000412", Class: "c", Team: "t", Kind: KindGang, Priority: PriorityNormal, Tasks: 2, CPUs: 1, Image: "i"})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add([]byte{0x93, 1, 2, 3})
	f.Add([]byte{0xdf, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, body []byte) {
		j, err := DecodeJob(body)
		if err == nil && (!ValidID(j.ID) || j.Tasks < 1 || j.Tasks > MaxTasks || j.CPUs < 0) {
			t.Errorf("accepted %+v", j)
		}
		if j.ID != "" && !ValidID(j.ID) {
			t.Errorf("returned the invalid id %q", j.ID)
		}
	})
}

// A repeated submission of an accepted job must succeed even if its body is malformed. DecodeJob
// must therefore find the id in a body that it can't decode.
func TestDecodeJobFindsIDInUndecodableBody(t *testing.T) {
	good, err := Marshal(Job{ID: "wk-000412", Class: "c", Team: "t", Kind: KindGang, Priority: PriorityNormal, Tasks: 2, CPUs: 1, Image: "i"})
	if err != nil {
		t.Fatal(err)
	}
	large := append(append([]byte{}, good...), make([]byte, MaxBody)...)
	for name, c := range map[string]struct {
		body []byte
		want string
	}{
		"cut off":          {good[:len(good)-5], "wk-000412"},
		"something after":  {append(append([]byte{}, good...), 1), "wk-000412"},
		"too large":        {large, "wk-000412"},
		"in a list":        {append([]byte{0x91}, good...), "wk-000412"},
		"cut in its id":    {good[:len("_")+len("_nameId")+5], ""},
		"another's form":   {[]byte("\x81\xa6nameId\xa9xx-000412"), ""},
		"a length of 4 GB": {[]byte("\xc1\xa6nameId\xdb\xff\xff\xff\xff"), ""},
		"nothing":          {nil, ""},
	} {
		j, err := DecodeJob(c.body)
		if err == nil || j.ID != c.want {
			t.Errorf("%s: got id %q and error %v, want id %q and an error", name, j.ID, err, c.want)
		}
	}
}
