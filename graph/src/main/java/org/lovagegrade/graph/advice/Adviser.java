package org.lovagegrade.graph.advice;

import java.util.function.Consumer;
import org.lovagegrade.wire.proto.AdviceQuestionProto;
import org.lovagegrade.wire.proto.AdviceResultProto;

/** The external service that decides which workers may run a step. */
@FunctionalInterface
public interface Adviser {
    /**
     * Asks which of the given workers may run a step.
     *
     * @param question the step and the workers
     * @param result receives the answer, or a result marked as not answered; called once, on any thread
     */
    void ask(AdviceQuestionProto question, Consumer<AdviceResultProto> result);
}
