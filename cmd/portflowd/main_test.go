package main

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
)

// runMainVariable is the environment variable that makes the test binary run main instead of the tests.
const runMainVariable = "HARBOUR_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(runMainVariable) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// A SIGHUP during startup must not terminate the process. The settings file is a named pipe, so that the signal is certain to arrive while
// the process reads it.
func TestSIGHUPDuringStartup(t *testing.T) {
	for _, role := range []string{"proxy", "control"} {
		c := qt.New(t)
		pipe := filepath.Join(t.TempDir(), "settings")
		c.Assert(syscall.Mkfifo(pipe, 0o600), qt.IsNil)
		program := exec.Command(os.Args[0], role)
		program.Env = append(os.Environ(), runMainVariable+"=1", "PORTFLOW_BOOT="+pipe)
		c.Assert(program.Start(), qt.IsNil)
		writer, err := os.OpenFile(pipe, os.O_WRONLY, 0) // returns once the process has opened it
		c.Assert(err, qt.IsNil)
		c.Assert(program.Process.Signal(syscall.SIGHUP), qt.IsNil)
		_, err = writer.WriteString("no settings\n")
		c.Check(err, qt.IsNil)
		c.Assert(writer.Close(), qt.IsNil)
		err = program.Wait()
		var exit *exec.ExitError
		c.Assert(errors.As(err, &exit), qt.IsTrue)
		c.Check(exit.Sys().(syscall.WaitStatus).Signaled(), qt.IsFalse, qt.Commentf("%s: %v", role, exit))
		c.Check(exit.ExitCode(), qt.Equals, 1, qt.Commentf("%s", role))
	}
}
