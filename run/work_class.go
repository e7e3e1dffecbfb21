package run

import (
	"time"

	"go.uber.org/zap"

	"github.com/tamarindworks/tamarindworks/schedule"
)

type (
	// workClass says what a repetition that waits for workers can still reach.
	workClass int

	// classLog counts the waiting repetitions by class and logs changes of class.
	classLog struct {
		counts [classCount]int
		// second is the second in which lines lines were logged; unlogged changes were not.
		second          time.Time
		lines, unlogged int
	}
)

const (
	classUnknown workClass = iota
	classInTime
	classLate
	classBeyondWeight
	classCount
)

// maxClassLines limits the log lines about changes of class in a second. At a height hundreds of
// submissions become late at the same time.
const maxClassLines = 20

var classNames = [classCount]string{classInTime: "in_time", classLate: "late", classBeyondWeight: "beyond_weight"}

func (c workClass) String() string { return classNames[c] }

// classOf returns the class of work of a grade; classUnknown for work that has no objective.
func classOf(grade schedule.Grade, beyondWeight bool) workClass {
	switch grade {
	case schedule.GradeLongRunning, schedule.GradeFiller:
		return classUnknown
	}
	if beyondWeight {
		return classBeyondWeight
	}
	switch grade {
	case schedule.GradeOnTime:
		return classInTime
	case schedule.GradeLate, schedule.GradeOverdue:
		return classLate
	}
	return classUnknown
}

// noteClass counts a waiting repetition and logs whether its class has changed since it waited last.
func (o *Owner) noteClass(rep *repetition, grade schedule.Grade) {
	class := classOf(grade, rep.sub.ahead > 0)
	if class == classUnknown {
		return
	}
	o.classLog.counts[class]++
	before := rep.class
	rep.class = class
	if before == class || before == classUnknown {
		return
	}
	log := &o.classLog
	if o.now.Sub(log.second) >= time.Second {
		log.second, log.lines = o.now, 0
	}
	if log.lines >= maxClassLines {
		log.unlogged++
		return
	}
	log.lines++
	o.log.Info("submission: class changed", zap.String("submission", string(rep.sub.ID)), zap.Int("repetition", rep.index),
		zap.Stringer("was", before), zap.Stringer("is", class), ageField("age", o.now, rep.due),
		zap.Duration("objective", o.objective(rep)), zap.Int("unlogged", log.unlogged))
	log.unlogged = 0
}

// publishClasses sets the metrics of the waiting work and starts a new count.
func (o *Owner) publishClasses() {
	for class, gauge := range o.metrics.waiting {
		gauge.Set(float64(o.classLog.counts[class]))
	}
	o.classLog.counts = [classCount]int{}
}
