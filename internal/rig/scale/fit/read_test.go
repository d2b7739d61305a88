package fit

import (
	"bytes"
	"errors"
	"math"
	"path/filepath"
	"strings"
	"testing"

	"brasswell/internal/rig/scale/result"
)

func TestFoldersThatCannotBeFitted(t *testing.T) {
	valid := func(change func(*result.Run)) string {
		run := syntheticRun("rest", 60, 1)
		change(run)
		var text bytes.Buffer
		if err := run.Write(&text); err != nil {
			t.Fatal(err)
		}
		return text.String()
	}
	whole := valid(func(*result.Run) {})
	for name, c := range map[string]struct{ text, want string }{
		"cut":              {whole[:len(whole)/2], "cut, or not one JSON value"},
		"two values":       {whole + whole, "cut, or not one JSON value"},
		"NaN":              {strings.Replace(whole, `"load": 3.25`, `"load": NaN`, 1), "cut, or not one JSON value"},
		"too large":        {strings.Replace(whole, `"load": 3.25`, `"load": 1e999`, 1), "load"},
		"another version":  {strings.Replace(whole, `"version": 1`, `"version": 7`, 1), "version 7"},
		"no members":       {valid(func(r *result.Run) { r.Settings.Members = 0 }), "settings.members is 0"},
		"no event":         {valid(func(r *result.Run) { r.Settings.Event = "" }), "settings.event is empty"},
		"negative lease":   {valid(func(r *result.Run) { r.Settings.LeaseS = -1 }), "settings.lease_s is -1"},
		"negative load":    {valid(func(r *result.Run) { r.Host.Load = -1 }), "host.load is -1"},
		"unknown role":     {valid(func(r *result.Run) { r.Roles[0].Role = "king" }), `unknown role "king"`},
		"role twice":       {valid(func(r *result.Run) { r.Roles = append(r.Roles, r.Roles[0]) }), "stands twice"},
		"role of none":     {valid(func(r *result.Run) { r.Roles[0].Members = 0 }), "roles.member.members is 0"},
		"role of too many": {valid(func(r *result.Run) { r.Roles[0].Members = 61 }), "roles.member.members is 61"},
		"negative rate":    {valid(func(r *result.Run) { r.Roles[0].BytesSent.Median = -3 }), "roles.member.bytes_sent.median is -3"},
		"negative count":   {valid(func(r *result.Run) { r.Roles[0].CPU.Count = -3 }), "roles.member.cpu_cores.count is -3"},
		"unsorted":         {valid(func(r *result.Run) { r.Roles[0].Memory.P99 = 1 }), "do not ascend"},
		"negative time":    {valid(func(r *result.Run) { r.Changes[0].InForceS.Median = -1 }), "changes.one.in_force_s.median is -1"},
		"negative host": {valid(func(r *result.Run) { r.HostCost = &result.HostCost{OneMember: result.Cost{CPU: -1}} }),
			"host_cost.one_member.cpu_cores is -1"},
		"agreed too many":               {valid(func(r *result.Run) { r.Changes[0].Agreed = 2 }), "changes.one: proposed 1, agreed 2"},
		"false deaths":                  {valid(func(r *result.Run) { r.Views.FalseDeaths = -1 }), "views.false_deaths is -1"},
		"leases lost":                   {valid(func(r *result.Run) { r.Leases.LostAwake = -2 }), "leases.lost is -2"},
		"views right before":            {valid(func(r *result.Run) { r.Views.RightS = new(float64); *r.Views.RightS = -1 }), "views.right_s is -1"},
		"healed before":                 {valid(func(r *result.Run) { r.Changes[0].HealedS = new(float64); *r.Changes[0].HealedS = -1 }), "changes.one.healed_s is -1"},
		"served too many":               {valid(func(r *result.Run) { r.Service = &result.Service{Asked: 1, Served: 2} }), "service: 2 of 1 served"},
		"a share above 1":               {valid(func(r *result.Run) { r.Service = &result.Service{Asked: 1, Served: 1, Share: 1.5} }), "service.share is 1.5"},
		"left out, and agreed too many": {valid(func(r *result.Run) { r.Interrupted, r.Changes[0].Agreed = true, 2 }), "changes.one: proposed 1, agreed 2"},
		"a phase of no name":            {valid(func(r *result.Run) { r.Changes[0].Name = "" }), "no name"},
	} {
		t.Run(name, func(t *testing.T) {
			folder := t.TempDir()
			path := filepath.Join(folder, "run.json")
			writeText(t, path, c.text)
			r, err := Folder(folder)
			var wrong *FileError
			if r != nil || !errors.As(err, &wrong) || wrong.Path != path || wrong.Mend == "" || !strings.Contains(err.Error(), c.want) {
				t.Errorf("%v, want %q", err, c.want)
			}
		})
	}
	nowhere := filepath.Join(t.TempDir(), "none")
	empty := t.TempDir()
	file := filepath.Join(t.TempDir(), "file")
	writeText(t, file, "")
	for folder, want := range map[string]string{nowhere: "no such folder", empty: "no *.json files in it", file: "cannot be read as a folder"} {
		if _, err := Folder(folder); err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), mendFolder) {
			t.Errorf("%s: %v", want, err)
		}
	}
}

func TestFiguresNoFileCanHold(t *testing.T) {
	for _, v := range []float64{math.NaN(), math.Inf(1), -1} {
		if checkNumber("here", v) == nil {
			t.Error(v)
		}
	}
}
