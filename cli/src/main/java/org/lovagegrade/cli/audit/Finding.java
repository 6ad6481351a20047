package org.lovagegrade.cli.audit;

import org.lovagegrade.cli.trace.LogLine;

/**
 * A violation of an invariant, as shown by the logs.
 *
 * @param invariant the invariant, as a sentence
 * @param line the line that violates it
 * @param context why the line violates it, such as an earlier observation that it contradicts
 */
public record Finding(String invariant, LogLine line, String context) {}
