package org.lovagegrade.graph.worker;

import org.lovagegrade.graph.machine.RunKey;
import org.lovagegrade.wire.proto.RunEndProto;

/**
 * An end as its worker lists it.
 *
 * @param number its number in this life of the worker, from 1
 * @param key which run
 * @param how how the run ended
 * @param checkpoint the last checkpoint, or an empty text
 */
public record EndedRunView(long number, RunKey key, RunEndProto how, String checkpoint) {}
