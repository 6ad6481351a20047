package org.lovagegrade.state.consensus;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import org.lovagegrade.wire.proto.HardStateProto;
import org.lovagegrade.wire.proto.LogEntryProto;
import org.lovagegrade.wire.proto.MembershipProto;
import org.lovagegrade.wire.proto.RaftMessageProto;
import org.lovagegrade.wire.proto.SnapshotMetaProto;

/**
 * A simulated group of replicas with seeded message delays, message loss, crashes, disk losses and pauses. After each
 * step it checks that a term has at most one leader, that committed entries agree on all replicas and never change, and
 * that at most one replica holds the leader lease.
 */
final class FuzzedGroup {
    private static final RaftTimings TIMINGS = RaftTimings.of(10, 100);
    private static final int STEP_MS = 5;
    private static final int MAX_DELAY_MS = 25;
    /** For groups whose elections take much less time than a lease. */
    private static final int MAX_SHORT_DELAY_MS = 6;

    private static final int MAX_OUTAGE_MS = 600;
    /** Shorter than a lease, for replicas that soon run again. */
    private static final int MAX_SHORT_OUTAGE_MS = 60;

    private static final int MAX_DISK_LOSSES = 3;
    private static final long EXPIRED_CONTACT_AGE_MS = 10_000;

    /**
     * The protections of the group; tests disable them one at a time.
     *
     * @param rules the safety rules of the replicas
     * @param syncsBeforeSending whether the storage is synced before messages are sent
     * @param newIncarnationAfterDiskLoss whether a replica that lost its disk restarts as a new incarnation
     * @param reportsCommittedMembership whether the leader reports a new membership only once it is committed
     * @param waitsOutLeases whether a restarted replica waits until the leases that it granted before have expired
     */
    record Protections(
            RaftRules rules,
            boolean syncsBeforeSending,
            boolean newIncarnationAfterDiskLoss,
            boolean reportsCommittedMembership,
            boolean waitsOutLeases) {
        static Protections all() {
            return new Protections(RaftRules.safe(), true, true, true, true);
        }
    }

    private final Random random;
    private final Protections protections;
    private final int maxDelayMs;
    private final List<Node> nodes = new ArrayList<>();
    private final PriorityQueue<InFlight> network =
            new PriorityQueue<>(Comparator.comparingLong(InFlight::deliverAtMs).thenComparingLong(InFlight::sequence));
    private final Map<Long, String> leaderByTerm = new HashMap<>();
    private final Map<Long, LogEntryProto> committedByIndex = new TreeMap<>();
    private final List<String> violations = new ArrayList<>();
    private long nowMs = 1_000;
    private long nextSequence;
    private int nextCommand;
    private int diskLosses;
    private int spareCount;
    private double lossRate;

    /** A message in flight and the time of its delivery. */
    private record InFlight(long deliverAtMs, long sequence, RaftMessageProto message) {}

    /** One replica: its process, its storage and its state machine. */
    private static final class Node {
        private final String name;
        private ReplicaId id;
        private MemoryStorage storage = new MemoryStorage();
        private Raft raft;
        private long downUntilMs;
        private long downSinceMs;
        private boolean paused;
        private long appliedIndex;
        private final TreeMap<Long, LogEntryProto> stateMachine = new TreeMap<>();

        private Node(String name) {
            this.name = name;
            this.id = ReplicaId.first(name);
        }
    }

    FuzzedGroup(long seed, int size, Protections protections) {
        this.random = new Random(seed);
        this.protections = protections;
        this.maxDelayMs = seed % 2 == 0 ? MAX_DELAY_MS : MAX_SHORT_DELAY_MS;
        MembershipProto.Builder voters = MembershipProto.newBuilder();
        for (int i = 0; i < size; i++) {
            voters.addVoters(ReplicaId.first("s" + i).toString());
        }
        for (int i = 0; i < size; i++) {
            Node node = new Node("s" + i);
            node.storage.saveHardState(HardStateProto.newBuilder().setTerm(1).build());
            node.storage.append(LogEntryProto.newBuilder()
                    .setIndex(1)
                    .setTerm(1)
                    .setMembership(voters)
                    .build());
            node.storage.sync();
            nodes.add(node);
            startReplica(node);
        }
    }

    /** Runs with random faults until the first violation. */
    List<String> run(int steps) {
        for (int i = 0; i < steps && violations.isEmpty(); i++) {
            lossRate = i % 120 < 60 ? 0.15 : 0.02;
            injectFault();
            step();
        }
        return violations;
    }

    /**
     * Runs without faults, then checks that commits continue and that all replicas have applied the earlier entries.
     */
    List<String> settle(int steps) {
        lossRate = 0;
        nodes.forEach(node -> node.downUntilMs = Math.min(node.downUntilMs, nowMs));
        long target = committedByIndex.size();
        for (int i = 0; i < steps && violations.isEmpty(); i++) {
            step();
        }
        if (violations.isEmpty() && committedByIndex.size() == target) {
            violations.add("no more entries were committed after " + target + " entries");
        }
        for (Node node : nodes) {
            if (violations.isEmpty() && node.appliedIndex < target) {
                violations.add(node.id + " has applied " + node.appliedIndex + " of " + target + " committed entries");
            }
        }
        return violations;
    }

    /** Starts a replica with an empty disk at an address that is new to the group. */
    void addSpare() {
        Node node = new Node("spare" + ++spareCount);
        node.id = new ReplicaId(node.name, "new");
        nodes.add(node);
        startReplica(node);
    }

    /** Removes a replica's process, address and disk permanently. */
    void removePermanently(String name) {
        nodes.removeIf(node -> node.name.equals(name));
    }

    int committedCommands() {
        return (int) committedByIndex.values().stream()
                .filter(entry -> !entry.getCommand().isEmpty())
                .count();
    }

    private void injectFault() {
        Node node = nodes.get(random.nextInt(nodes.size()));
        int roll = random.nextInt(1_000);
        if (node.downUntilMs > nowMs) {
            return;
        }
        if (roll < 12) {
            node.storage.crash();
            goDown(node, false);
        } else if (roll < 22) {
            goDown(node, true);
        } else if (roll < 40 && mayLoseDisk()) {
            loseDisk(node);
        } else if (roll < 55) {
            snapshot(node);
        } else if (roll < 60) {
            crashAllBut(node);
        }
    }

    /** Kills all running processes but one at the same time and restarts them soon; the spared one may be paused. */
    private void crashAllBut(Node spared) {
        if (random.nextBoolean()) {
            goDown(spared, true);
        }
        for (Node node : nodes) {
            if (node != spared && node.downUntilMs <= nowMs) {
                node.storage.crash();
                goDown(node, false);
                node.downUntilMs = nowMs + random.nextInt(MAX_SHORT_OUTAGE_MS);
            }
        }
    }

    private void goDown(Node node, boolean paused) {
        node.paused = paused;
        node.downSinceMs = nowMs;
        boolean isShort = random.nextInt(4) == 0;
        node.downUntilMs = nowMs + random.nextInt(isShort ? MAX_SHORT_OUTAGE_MS : MAX_OUTAGE_MS);
    }

    /**
     * Allows the next disk loss, also the leader's, as soon as the leader reports that the previous one is repaired.
     */
    private boolean mayLoseDisk() {
        boolean allUp = nodes.stream().allMatch(other -> other.downUntilMs <= nowMs);
        boolean isRepaired = nodes.stream()
                .filter(other -> other.raft.holdsLease(nowMs))
                .anyMatch(leader ->
                        nodes.stream().allMatch(other -> reportedVoters(leader).contains(other.id.toString())));
        return diskLosses < MAX_DISK_LOSSES && allUp && isRepaired;
    }

    private List<String> reportedVoters(Node leader) {
        return protections.reportsCommittedMembership()
                ? leader.raft.committedMembership().getVotersList()
                : leader.raft.membership().getVotersList();
    }

    private void loseDisk(Node node) {
        diskLosses++;
        node.storage = new MemoryStorage();
        node.stateMachine.clear();
        node.appliedIndex = 0;
        if (protections.newIncarnationAfterDiskLoss()) {
            node.id = new ReplicaId(node.name, "new" + diskLosses);
        }
        goDown(node, false);
    }

    private void snapshot(Node node) {
        if (node.appliedIndex <= node.storage.snapshotMeta().getIndex()) {
            return;
        }
        ByteString.Output data = ByteString.newOutput();
        try {
            for (LogEntryProto entry : node.stateMachine.values()) {
                entry.writeDelimitedTo(data);
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        node.storage.saveSnapshot(
                SnapshotMetaProto.newBuilder()
                        .setIndex(node.appliedIndex)
                        .setTerm(node.storage.termAt(node.appliedIndex))
                        .setMembership(node.raft.membershipAt(node.appliedIndex))
                        .build(),
                data.toByteString());
    }

    private void startReplica(Node node) {
        node.raft = Raft.replica(node.id, node.storage)
                .ofGroup(1)
                .timedBy(TIMINGS)
                .ruledBy(protections.rules())
                .randomizedBy(bound -> random.nextInt((int) bound))
                .maxEntriesPerMessage(1 + random.nextInt(3))
                .noLeaderContactSince(protections.waitsOutLeases() ? node.downSinceMs : nowMs - EXPIRED_CONTACT_AGE_MS)
                .startingAt(nowMs);
        long snapshotIndex = node.storage.snapshotMeta().getIndex();
        node.stateMachine.tailMap(snapshotIndex, false).clear();
        node.appliedIndex = snapshotIndex;
    }

    private void step() {
        nowMs += STEP_MS;
        for (Node node : nodes) {
            resumeIfDue(node);
        }
        deliver();
        for (Node node : nodes) {
            if (node.downUntilMs <= nowMs) {
                runReplica(node);
            }
        }
        checkOneLeaseHolder();
    }

    private void resumeIfDue(Node node) {
        boolean isDue = node.downUntilMs != 0 && node.downUntilMs <= nowMs;
        if (!isDue) {
            return;
        }
        node.downUntilMs = 0;
        if (!node.paused) {
            startReplica(node);
        }
        node.paused = false;
    }

    private void deliver() {
        while (!network.isEmpty() && network.peek().deliverAtMs() <= nowMs) {
            RaftMessageProto message = network.poll().message();
            for (Node node : nodes) {
                boolean isAddressee = ReplicaId.parse(message.getTo()).name().equals(node.name);
                boolean isReachable = node.downUntilMs <= nowMs || node.paused;
                if (isAddressee && isReachable && node.downUntilMs <= nowMs) {
                    node.raft.receive(message, nowMs);
                }
            }
        }
    }

    private void runReplica(Node node) {
        node.raft.tick(nowMs);
        if (node.raft.isLeader() && random.nextInt(4) == 0) {
            node.raft.propose(ByteString.copyFromUtf8("c" + nextCommand++));
        }
        node.raft.replicate(nowMs);
        if (node.raft.shouldAskToJoin(nowMs) && random.nextInt(10) == 0) {
            // like a process that knows only some of its peers, perhaps not the leader
            node.raft.askToJoin(nodes.get(random.nextInt(nodes.size())).name);
        }
        if (protections.syncsBeforeSending() || random.nextInt(20) == 0) {
            node.storage.sync();
        }
        node.raft.synced();
        node.raft.takeMessages().forEach(this::send);
        node.raft.takeInstalledSnapshot().ifPresent(snapshot -> install(node, snapshot));
        node.raft.takeCommitted().forEach(entry -> apply(node, entry));
        checkOneLeaderPerTerm(node);
    }

    private void send(RaftMessageProto message) {
        if (random.nextDouble() < lossRate) {
            return;
        }
        network.add(new InFlight(nowMs + random.nextInt(maxDelayMs), nextSequence++, message));
        if (random.nextInt(50) == 0) {
            network.add(new InFlight(nowMs + 200 + random.nextInt(400), nextSequence++, message));
        }
    }

    private void install(Node node, InstalledSnapshot snapshot) {
        node.stateMachine.clear();
        try {
            InputStream input = snapshot.data().newInput();
            LogEntryProto entry = LogEntryProto.parseDelimitedFrom(input);
            while (entry != null) {
                node.stateMachine.put(entry.getIndex(), entry);
                checkCommitted(entry, node);
                entry = LogEntryProto.parseDelimitedFrom(input);
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        node.appliedIndex = snapshot.meta().getIndex();
    }

    private void apply(Node node, LogEntryProto entry) {
        if (entry.getIndex() != node.appliedIndex + 1) {
            violations.add(node.id + " applied index " + entry.getIndex() + " after " + node.appliedIndex);
        }
        node.appliedIndex = entry.getIndex();
        node.stateMachine.put(entry.getIndex(), entry);
        checkCommitted(entry, node);
    }

    private void checkCommitted(LogEntryProto entry, Node node) {
        LogEntryProto previous = committedByIndex.putIfAbsent(entry.getIndex(), entry);
        if (previous != null && !previous.equals(entry)) {
            violations.add(node.id + " committed a different entry at index " + entry.getIndex() + ": term "
                    + entry.getTerm() + ", earlier term " + previous.getTerm());
        }
    }

    private void checkOneLeaderPerTerm(Node node) {
        if (!node.raft.isLeader()) {
            return;
        }
        String previous = leaderByTerm.putIfAbsent(node.raft.term(), node.id.toString());
        if (previous != null && !previous.equals(node.id.toString())) {
            violations.add("term " + node.raft.term() + " has two leaders: " + previous + " and " + node.id);
        }
    }

    private void checkOneLeaseHolder() {
        List<String> holders = new ArrayList<>();
        for (Node node : nodes) {
            boolean isUp = node.downUntilMs <= nowMs || node.paused;
            if (isUp && node.raft.holdsLease(nowMs)) {
                holders.add(node.id.toString());
            }
        }
        if (holders.size() > 1) {
            violations.add("several replicas hold the lease at once: " + holders);
        }
    }
}
