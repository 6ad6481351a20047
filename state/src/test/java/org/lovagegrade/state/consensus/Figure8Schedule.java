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
 * The schedule in which an entry of an earlier term stands on a majority and is still overwritten: s1 leads again and
 * spreads its old entry, then s5 is elected by the term of its own.
 */
final class OverwrittenEntry {
    private static final RaftTimings TIMINGS = RaftTimings.of(10, 100);
    private static final long QUIET_MS = 1_000;
    private static final long ENTRY = 2;

    private final Map<String, Raft> replicas = new TreeMap<>();
    private final Map<String, MemoryStorage> storages = new TreeMap<>();
    private final Set<Long> committedTerms = new TreeSet<>();
    private long nowMs;

    OverwrittenEntry(RaftRules rules) {
        for (int i = 1; i <= 5; i++) {
            add("s" + i, i == 1 || i == 2 ? 2 : i == 5 ? 3 : 0, rules);
        }
        nowMs += QUIET_MS;
        elect("s1", Set.of("s2", "s3", "s4"));
        // One entry a message: s3 gets the old entry only, s2 the one of the new term too; s1 hears of both.
        exchange("s1", Set.of("s2", "s3"), 2);
        nowMs += QUIET_MS;
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

    private void add(String name, long termOfEntry, RaftRules rules) {
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
        if (termOfEntry > 0) {
            storage.append(LogEntryProto.newBuilder()
                    .setIndex(ENTRY)
                    .setTerm(termOfEntry)
                    .build());
        }
        storages.put(name, storage);
        replicas.put(
                name,
                Raft.replica(ReplicaId.first(name), storage)
                        .ofGroup(1)
                        .timedBy(TIMINGS)
                        .ruledBy(rules)
                        .sendingAtMost(1)
                        .startingAt(nowMs));
    }

    private void elect(String candidate, Set<String> voters) {
        replicas.get(candidate).tick(nowMs);
        exchange(candidate, voters, 2);
    }

    /** Takes messages from one replica to the others and their answers back, some rounds long; all else is lost. */
    private void exchange(String center, Set<String> others, int rounds) {
        for (int i = 0; i < rounds; i++) {
            List<RaftMessageProto> answers = new ArrayList<>();
            for (RaftMessageProto message : flush(center)) {
                String to = ReplicaId.parse(message.getTo()).name();
                if (others.contains(to)) {
                    replicas.get(to).receive(message, nowMs);
                    answers.addAll(flush(to));
                }
            }
            answers.forEach(answer -> replicas.get(center).receive(answer, nowMs));
            note(center);
        }
    }

    private List<RaftMessageProto> flush(String name) {
        storages.get(name).sync();
        replicas.get(name).synced();
        note(name);
        return replicas.get(name).takeMessages();
    }

    private void note(String name) {
        for (LogEntryProto entry : replicas.get(name).takeCommitted()) {
            if (entry.getIndex() == ENTRY) {
                committedTerms.add(entry.getTerm());
            }
        }
    }
}
