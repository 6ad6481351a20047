package org.lovagegrade.state.consensus.internal;

import java.util.Map;
import java.util.TreeMap;
import org.lovagegrade.wire.proto.LogEntryProto;
import org.lovagegrade.wire.proto.MembershipProto;

/** The memberships in the log by their index; the latest is in force from the moment it is appended. */
public final class MembershipHistory {
    private final TreeMap<Long, MembershipProto> byIndex = new TreeMap<>();

    /**
     * Notes an entry that was appended.
     *
     * @param entry any entry
     */
    public void appended(LogEntryProto entry) {
        if (entry.hasMembership()) {
            byIndex.put(entry.getIndex(), entry.getMembership());
        }
    }

    /**
     * Notes that entries were dropped.
     *
     * @param index the first index dropped
     */
    public void truncatedFrom(long index) {
        byIndex.tailMap(index, true).clear();
    }

    /**
     * Notes a snapshot.
     *
     * @param index its index
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
