package wire

import "testing"

// Guards against malformed ids that are accepted, and against task names that can't be parsed back.
func TestIDsAndTaskNames(t *testing.T) {
	for id, want := range map[string]bool{"wk-000412": true, "wk-1234567": true, "wk-12": false, "wk-00041a": false, "000412": false, "": false} {
		if ValidID(id) != want {
			t.Errorf("ValidID(%q) = %v, want %v", id, !want, want)
		}
	}
	if id, n, ok := ParseTaskName(TaskName("wk-000412", 3)); id != "wk-000412" || n != 3 || !ok {
		t.Errorf("ParseTaskName = %q, %d, %v, want wk-000412, 3, true", id, n, ok)
	}
	if _, _, ok := ParseTaskName("wk-000412/-1"); ok {
		t.Error("a negative task number was accepted")
	}
}
