package org.lovagegrade.graph.worker;

import org.lovagegrade.graph.machine.RunKey;
import org.lovagegrade.wire.proto.RunEndProto;

/**
 * A run that has ended, as its worker lists it.
 *
 * @param number the sequence number of the end in this incarnation of the worker, from 1
 * @param key the run
 * @param how how the run ended
 * @param checkpoint the last checkpoint, or an empty string
 */
public record EndedRunView(long number, RunKey key, RunEndProto how, String checkpoint) {}
