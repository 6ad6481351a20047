package org.lovagegrade.core.internal;

import java.util.ArrayList;
import java.util.List;
import org.lovagegrade.core.Action;
import org.lovagegrade.core.Attempt;
import org.lovagegrade.core.Decision;
import org.lovagegrade.core.Reason;

/** Collects decisions in order until they are drained. */
final class DecisionLog {
    private List<Decision> decisions = new ArrayList<>();

    void aboutJob(Action action, JobState job, Reason reason) {
        decisions.add(Decision.aboutJob(action, job.spec.id(), reason));
    }

    void jobRefused(String job, Reason reason) {
        decisions.add(Decision.aboutJob(Action.REFUSE, job, reason));
    }

    void aboutAttempt(Action action, Attempt attempt, Reason reason) {
        decisions.add(Decision.aboutAttempt(action, attempt, reason));
    }

    void attemptPlaced(Attempt attempt, Reason reason, long leaseMs) {
        decisions.add(Decision.aboutAttempt(Action.PLACE, attempt, reason).withLease(leaseMs));
    }

    List<Decision> drain() {
        List<Decision> drained = decisions;
        decisions = new ArrayList<>();
        return List.copyOf(drained);
    }
}
