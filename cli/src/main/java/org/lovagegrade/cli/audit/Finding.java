package org.lovagegrade.cli.audit;

import org.lovagegrade.cli.trace.LogLine;

/**
 * A promise that the logs show to be broken.
 *
 * @param promise the promise
 * @param line the line that shows it
 * @param context what stood against it before
 */
public record Finding(String promise, LogLine line, String context) {}
