package org.lovagegrade.replay;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.util.ArrayList;
import java.util.List;
import org.lovagegrade.replay.trace.TraceLine;

/** Checks the summary of a replay against the expected outcomes of its trace. */
final class ExpectedOutcomes {
    private ExpectedOutcomes() {}

    /** Returns a message for each missed outcome. */
    static List<String> missed(List<TraceLine> lines, JsonNode summary) {
        List<String> missed = new ArrayList<>();
        for (TraceLine line : lines) {
            if (line instanceof TraceLine.OutcomeLine outcome) {
                check(outcome, summary, missed);
            }
        }
        return missed;
    }

    private static void check(TraceLine.OutcomeLine outcome, JsonNode summary, List<String> missed) {
        JsonNode value = findMeasure(summary, outcome.measure());
        if (!value.isNumber()) {
            missed.add("missed: " + outcome.measure() + "\nexpected: a measure of the summary\n  actual: none");
            return;
        }
        boolean isTooHigh = outcome.atMost() != null && value.asDouble() > outcome.atMost();
        boolean isTooLow = outcome.atLeast() != null && value.asDouble() < outcome.atLeast();
        if (isTooHigh) {
            missed.add("missed: " + outcome.measure() + "\nexpected: at most " + outcome.atMost() + "\n  actual: "
                    + value);
        }
        if (isTooLow) {
            missed.add("missed: " + outcome.measure() + "\nexpected: at least " + outcome.atLeast() + "\n  actual: "
                    + value);
        }
    }

    /** Finds a measure by its dotted name. Ids may contain dots, so the longest matching field name is preferred. */
    private static JsonNode findMeasure(JsonNode node, String name) {
        if (node.has(name)) {
            return node.get(name);
        }
        for (int dot = name.lastIndexOf('.'); dot > 0; dot = name.lastIndexOf('.', dot - 1)) {
            String head = name.substring(0, dot);
            if (node.has(head)) {
                return findMeasure(node.get(head), name.substring(dot + 1));
            }
        }
        return MissingNode.getInstance();
    }
}
