package org.lovagegrade.state.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.lovagegrade.wire.proto.HardStateProto;
import org.lovagegrade.wire.proto.LogEntryProto;
import org.lovagegrade.wire.proto.MembershipProto;
import org.lovagegrade.wire.proto.RaftMessageProto;

/**
 * The schedule of figure 8 in the Raft paper, in which a majority has stored an entry of an earlier term and a later
 * leader still overwrites it: s1 is elected again and replicates its old entry, then s5 is elected because its last
 * entry has a higher term.
 */
final class Figure8Schedule {
    private static final RaftTimings TIMINGS = RaftTimings.of(10, 100);
    private static final long ELECTION_WAIT_MS = 1_000;
    private static final long ENTRY_INDEX = 2;

    private final Map<String, Raft> replicas = new TreeMap<>();
    private final Map<String, MemoryStorage> storages = new TreeMap<>();
    private final Set<Long> committedTerms = new TreeSet<>();
    private long nowMs;

    Figure8Schedule(RaftRules rules) {
        for (int i = 1; i <= 5; i++) {
            add("s" + i, i == 1 || i == 2 ? 2 : i == 5 ? 3 : 0, rules);
        }
        nowMs += ELECTION_WAIT_MS;
        elect("s1", Set.of("s2", "s3", "s4"));
        // With one entry per message, s3 stores only the old entry, s2 that of the new term too; s1 gets both replies.
        exchange("s1", Set.of("s2", "s3"), 2);
        nowMs += ELECTION_WAIT_MS;
        elect("s5", Set.of("s3", "s4"));
        for (int i = 0; i < 20; i++) {
            exchange("s5", Set.of("s3", "s4"), 1);
            nowMs += TIMINGS.heartbeatMs();
            replicas.get("s5").tick(nowMs);
        }
    }

    Set<Long> committedTermsOfEntryTwo() {
        return committedTerms;
    }

    private void add(String name, long entryTerm, RaftRules rules) {
        MemoryStorage storage = new MemoryStorage();
        MembershipProto.Builder voters = MembershipProto.newBuilder();
        for (int i = 1; i <= 5; i++) {
            voters.addVoters(ReplicaId.first("s" + i).toString());
        }
        storage.saveHardState(HardStateProto.newBuilder().setTerm(3).build());
        storage.append(LogEntryProto.newBuilder()
                .setIndex(1)
                .setTerm(1)
                .setMembership(voters)
                .build());
        if (entryTerm > 0) {
            storage.append(LogEntryProto.newBuilder()
                    .setIndex(ENTRY_INDEX)
                    .setTerm(entryTerm)
                    .build());
        }
        storages.put(name, storage);
        replicas.put(
                name,
                Raft.replica(ReplicaId.first(name), storage)
                        .ofGroup(1)
                        .timedBy(TIMINGS)
                        .ruledBy(rules)
                        .maxEntriesPerMessage(1)
                        .startingAt(nowMs));
    }

    private void elect(String candidate, Set<String> voters) {
        replicas.get(candidate).tick(nowMs);
        exchange(candidate, voters, 2);
    }

    /** Delivers the messages between one replica and some peers for some rounds; all other messages are lost. */
    private void exchange(String replica, Set<String> peers, int rounds) {
        for (int i = 0; i < rounds; i++) {
            List<RaftMessageProto> replies = new ArrayList<>();
            for (RaftMessageProto message : syncAndTakeMessages(replica)) {
                String to = ReplicaId.parse(message.getTo()).name();
                if (peers.contains(to)) {
                    replicas.get(to).receive(message, nowMs);
                    replies.addAll(syncAndTakeMessages(to));
                }
            }
            replies.forEach(reply -> replicas.get(replica).receive(reply, nowMs));
            recordCommitted(replica);
        }
    }

    private List<RaftMessageProto> syncAndTakeMessages(String name) {
        storages.get(name).sync();
        replicas.get(name).synced();
        recordCommitted(name);
        return replicas.get(name).takeMessages();
    }

    private void recordCommitted(String name) {
        for (LogEntryProto entry : replicas.get(name).takeCommitted()) {
            if (entry.getIndex() == ENTRY_INDEX) {
                committedTerms.add(entry.getTerm());
            }
        }
    }
}
