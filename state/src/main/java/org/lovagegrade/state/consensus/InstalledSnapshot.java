package org.lovagegrade.state.consensus;

import com.google.protobuf.ByteString;
import org.lovagegrade.wire.proto.SnapshotMetaProto;

/**
 * A snapshot that came from the leader and replaces the state machine.
 *
 * @param meta describes it
 * @param data the state machine
 */
public record InstalledSnapshot(SnapshotMetaProto meta, ByteString data) {}
