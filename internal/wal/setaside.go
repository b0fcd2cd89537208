package wal

import (
	"fmt"
	"slices"
)

const (
	damagedPrefix   = "damaged-"
	maxDamagedLogs  = 2 // the first and the last one, since the disk of a host may be small
	firstDamagedLog = 1 // number of the log whose files have no number in their names
)

// DamagedLog describes a log that SetAside has set aside.
type DamagedLog struct {
	Prefix string // of the names of its files
	Files  int    // that were renamed
	// Replaced reports whether the log takes the place of the one that was set aside
	// last, since the folder already kept as many as it may.
	Replaced bool
}

// damagedLogPrefix returns how the names of a damaged log begin.
func damagedLogPrefix(number int) string {
	if number == firstDamagedLog {
		return damagedPrefix
	}
	return fmt.Sprintf("%s%d-", damagedPrefix, number)
}

// logFiles returns the names of the identity, the snapshots and the segments, in this
// order, that begin with a further prefix.
func logFiles(names []string, prefix string) []string {
	var found []string
	for _, kind := range []string{identityName, snapshotPrefix, segmentPrefix} {
		found = append(found, withPrefix(names, prefix+kind)...)
	}
	return found
}

// CountDamaged returns the number of logs that were set aside in the folder.
func CountDamaged(d Disk) (int, error) {
	names, err := d.List()
	if err != nil {
		return 0, fmt.Errorf("list data folder: %w", err)
	}
	return latestDamaged(names), nil
}

// latestDamaged returns the number of the log that was set aside last, or 0.
func latestDamaged(names []string) int {
	for number := maxDamagedLogs; number >= firstDamagedLog; number-- {
		if len(logFiles(names, damagedLogPrefix(number))) > 0 {
			return number
		}
	}
	return 0
}

// SetAside renames the files of a damaged log, so that the folder can be opened as an
// empty one. The folder keeps the first log that was set aside and the last one.
//
// The identity is renamed first: after a crash in SetAside the folder cannot be opened
// with a part of the log, and SetAside goes on when it is called again.
func SetAside(d Disk) (DamagedLog, error) {
	names, err := d.List()
	if err != nil {
		return DamagedLog{}, fmt.Errorf("list data folder: %w", err)
	}
	files := logFiles(names, "")
	number, isRest := damagedNumber(names, files)
	log := DamagedLog{Prefix: damagedLogPrefix(number), Files: len(files)}
	if !isRest {
		if log.Replaced, err = removeDamaged(d, names, number); err != nil {
			return log, err
		}
	}
	for _, name := range files {
		if err := d.Rename(name, log.Prefix+name); err != nil {
			return log, fmt.Errorf("set aside %s: %w", d.Path(name), err)
		}
		if name != identityName {
			continue
		}
		if err := d.SyncDir(); err != nil {
			return log, fmt.Errorf("set aside %s: %w", d.Path(name), err)
		}
	}
	return log, d.SyncDir()
}

// damagedNumber returns the number under which files are set aside, and whether they are
// the rest of the log that was set aside last, which a crash left.
func damagedNumber(names, files []string) (number int, isRest bool) {
	latest := latestDamaged(names)
	if latest == 0 {
		return firstDamagedLog, false
	}
	isTaken := func(file string) bool { return slices.Contains(names, damagedLogPrefix(latest)+file) }
	if !slices.Contains(files, identityName) && !slices.ContainsFunc(files, isTaken) {
		return latest, true
	}
	return min(latest+1, maxDamagedLogs), false
}

// removeDamaged removes a log that was set aside, and reports whether there was one.
func removeDamaged(d Disk, names []string, number int) (bool, error) {
	files := logFiles(names, damagedLogPrefix(number))
	for _, name := range files {
		if err := d.Remove(name); err != nil {
			return false, fmt.Errorf("remove %s: %w", d.Path(name), err)
		}
	}
	if len(files) == 0 {
		return false, nil
	}
	return true, d.SyncDir()
}
