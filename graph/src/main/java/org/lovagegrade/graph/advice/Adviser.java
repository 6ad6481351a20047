package org.lovagegrade.graph.advice;

import java.util.function.Consumer;
import org.lovagegrade.wire.proto.AdviceQuestionProto;
import org.lovagegrade.wire.proto.AdviceResultProto;

/** The outside service that says which workers may run a step. */
@FunctionalInterface
public interface Adviser {
    /**
     * Asks which of some workers may run a step.
     *
     * @param question the step and the workers
     * @param result takes the answer, or that there was none, once and on any thread
     */
    void ask(AdviceQuestionProto question, Consumer<AdviceResultProto> result);
}
