package org.lovagegrade.graph.leader;

import org.lovagegrade.graph.advice.SettledQuestion;
import org.lovagegrade.kernel.logging.Log;

/** Reports what the questions to the adviser cost. */
final class AdviceAccounting {
    private AdviceAccounting() {}

    static void report(SettledQuestion question) {
        Log.event("adviceSettled")
                .with("step", question.step())
                .with("workers", question.workers())
                .with("allowed", question.allowed())
                .with("answered", question.answered())
                .with("tookMs", question.tookMs())
                .info();
    }
}
