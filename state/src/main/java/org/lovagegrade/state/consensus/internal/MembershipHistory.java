package org.lovagegrade.state.consensus.internal;

import java.util.Map;
import java.util.TreeMap;
import org.lovagegrade.wire.proto.LogEntryProto;
import org.lovagegrade.wire.proto.MembershipProto;

/** The memberships in the log by index; the latest is in force as soon as it is appended, before it is committed. */
public final class MembershipHistory {
    private final TreeMap<Long, MembershipProto> byIndex = new TreeMap<>();

    /**
     * Records an appended entry; one without a membership is ignored.
     *
     * @param entry the entry
     */
    public void appended(LogEntryProto entry) {
        if (entry.hasMembership()) {
            byIndex.put(entry.getIndex(), entry.getMembership());
        }
    }

    /**
     * Removes the memberships of truncated entries.
     *
     * @param index the first truncated index
     */
    public void truncatedFrom(long index) {
        byIndex.tailMap(index, true).clear();
    }

    /**
     * Replaces the memberships up to the index of a snapshot by that of the snapshot.
     *
     * @param index the last index that the snapshot covers
     * @param membership the membership at that index
     */
    public void snapshotAt(long index, MembershipProto membership) {
        byIndex.headMap(index, true).clear();
        byIndex.put(index, membership);
    }

    /**
     * The membership in force.
     *
     * @return the latest, empty if there is none
     */
    public MembershipProto latest() {
        return byIndex.isEmpty()
                ? MembershipProto.getDefaultInstance()
                : byIndex.lastEntry().getValue();
    }

    /**
     * The index of the membership in force.
     *
     * @return the index, 0 if there is none
     */
    public long latestIndex() {
        return byIndex.isEmpty() ? 0 : byIndex.lastKey();
    }

    /**
     * The membership that was in force at an index.
     *
     * @param index the index
     * @return the membership, empty if there was none
     */
    public MembershipProto at(long index) {
        Map.Entry<Long, MembershipProto> entry = byIndex.floorEntry(index);
        return entry == null ? MembershipProto.getDefaultInstance() : entry.getValue();
    }
}
