package org.lovagegrade.state.consensus;

import com.google.protobuf.ByteString;
import org.lovagegrade.wire.proto.SnapshotMetaProto;

/**
 * A snapshot from the leader that replaces the state of the state machine.
 *
 * @param meta its index, term and membership
 * @param data the serialized state machine
 */
public record InstalledSnapshot(SnapshotMetaProto meta, ByteString data) {}
