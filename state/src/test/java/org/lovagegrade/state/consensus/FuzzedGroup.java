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
 * A group of replicas under a seeded order of delivery, loss, crashes, lost disks and pauses. After each step it is
 * checked that a term has one leader, that committed entries agree and stay, and that one replica at most may decide.
 */
final class FuzzedGroup {
    private static final RaftTimings TIMINGS = RaftTimings.of(10, 100);
    private static final int STEP_MS = 5;
    private static final int LONGEST_DELAY_MS = 25;
    /** For groups whose elections are short against a lease. */
    private static final int LONGEST_SHORT_DELAY_MS = 6;

    private static final int LONGEST_PAUSE_MS = 600;
    /** Shorter than a lease, for replicas that are back soon. */
    private static final int SHORT_PAUSE_MS = 60;

    private static final int MOST_LOST_DISKS = 3;
    private static final long LONG_AGO_MS = 10_000;

    /**
     * Which protections are taken out.
     *
     * @param rules the rules of the replicas
     * @param syncsBeforeSending whether what is written is synced before messages leave
     * @param newIdentityAfterLostDisk whether a replica without its disk comes back as another
     * @param tellsCommittedMembership whether a repair is told only once a quorum has it
     * @param waitsOutLeases whether a replica that starts again waits for the leases that it has granted before
     */
    record Protections(
            RaftRules rules,
            boolean syncsBeforeSending,
            boolean newIdentityAfterLostDisk,
            boolean tellsCommittedMembership,
            boolean waitsOutLeases) {
        static Protections all() {
            return new Protections(RaftRules.safe(), true, true, true, true);
        }
    }

    private final Random random;
    private final Protections protections;
    private final int longestDelayMs;
    private final List<Node> nodes = new ArrayList<>();
    private final PriorityQueue<InFlight> network =
            new PriorityQueue<>(Comparator.comparingLong(InFlight::atMs).thenComparingLong(InFlight::sequence));
    private final Map<Long, String> leaderOfTerm = new HashMap<>();
    private final Map<Long, LogEntryProto> committed = new TreeMap<>();
    private final List<String> violations = new ArrayList<>();
    private long nowMs = 1_000;
    private long nextSequence;
    private int nextCommand;
    private int lostDisks;
    private int spares;
    private double lossRate;

    /** A message on its way. */
    private record InFlight(long atMs, long sequence, RaftMessageProto message) {}

    /** One replica. */
    private static final class Node {
        private final String name;
        private ReplicaId id;
        private MemoryStorage storage = new MemoryStorage();
        private Raft raft;
        private long downUntilMs;
        private long downSinceMs;
        private boolean paused;
        private long applied;
        private final TreeMap<Long, LogEntryProto> machine = new TreeMap<>();

        private Node(String name) {
            this.name = name;
            this.id = ReplicaId.first(name);
        }
    }

    FuzzedGroup(long seed, int size, Protections protections) {
        this.random = new Random(seed);
        this.protections = protections;
        this.longestDelayMs = seed % 2 == 0 ? LONGEST_DELAY_MS : LONGEST_SHORT_DELAY_MS;
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
            boot(node);
        }
    }

    /** Runs under faults, then without, and checks that the group has come to agree. */
    List<String> run(int steps) {
        for (int i = 0; i < steps && violations.isEmpty(); i++) {
            lossRate = i % 120 < 60 ? 0.15 : 0.02;
            disturb();
            step();
        }
        return violations;
    }

    /** Runs without faults until all live replicas have applied the same, or too long. */
    List<String> settle(int steps) {
        lossRate = 0;
        nodes.forEach(node -> node.downUntilMs = Math.min(node.downUntilMs, nowMs));
        long target = committed.size();
        for (int i = 0; i < steps && violations.isEmpty(); i++) {
            step();
        }
        if (violations.isEmpty() && committed.size() == target) {
            violations.add("nothing was committed any more after " + target + " entries");
        }
        for (Node node : nodes) {
            if (violations.isEmpty() && node.applied < target) {
                violations.add(node.id + " has applied " + node.applied + " of " + target + " committed entries");
            }
        }
        return violations;
    }

    /** A replica with an empty disk at an address that the group has not known. */
    void addSpare() {
        Node node = new Node("spare" + ++spares);
        node.id = new ReplicaId(node.name, "new");
        nodes.add(node);
        boot(node);
    }

    /** A replica's process, address and disk never come back. */
    void leaveForGood(String name) {
        nodes.removeIf(node -> node.name.equals(name));
    }

    int committedCommands() {
        return (int) committed.values().stream()
                .filter(entry -> !entry.getCommand().isEmpty())
                .count();
    }

    private void disturb() {
        Node node = nodes.get(random.nextInt(nodes.size()));
        int dice = random.nextInt(1_000);
        if (node.downUntilMs > nowMs) {
            return;
        }
        if (dice < 12) {
            node.storage.crash();
            goDown(node, false);
        } else if (dice < 22) {
            goDown(node, true);
        } else if (dice < 40 && mayLoseDisk()) {
            loseDisk(node);
        } else if (dice < 55) {
            snapshot(node);
        } else if (dice < 60) {
            crashAllBut(node);
        }
    }

    /** Most processes are killed at the same moment and are back soon; the one that is left may be paused. */
    private void crashAllBut(Node spared) {
        if (random.nextBoolean()) {
            goDown(spared, true);
        }
        for (Node node : nodes) {
            if (node != spared && node.downUntilMs <= nowMs) {
                node.storage.crash();
                goDown(node, false);
                node.downUntilMs = nowMs + random.nextInt(SHORT_PAUSE_MS);
            }
        }
    }

    private void goDown(Node node, boolean paused) {
        node.paused = paused;
        node.downSinceMs = nowMs;
        boolean isShort = random.nextInt(4) == 0;
        node.downUntilMs = nowMs + random.nextInt(isShort ? SHORT_PAUSE_MS : LONGEST_PAUSE_MS);
    }

    /** The next disk is lost as soon as the leader tells that the former loss is repaired, the leader's too. */
    private boolean mayLoseDisk() {
        boolean allUp = nodes.stream().allMatch(other -> other.downUntilMs <= nowMs);
        boolean isRepaired = nodes.stream()
                .filter(other -> other.raft.holdsLease(nowMs))
                .anyMatch(leader ->
                        nodes.stream().allMatch(other -> toldVoters(leader).contains(other.id.toString())));
        return lostDisks < MOST_LOST_DISKS && allUp && isRepaired;
    }

    private List<String> toldVoters(Node leader) {
        return protections.tellsCommittedMembership()
                ? leader.raft.committedMembership().getVotersList()
                : leader.raft.membership().getVotersList();
    }

    private void loseDisk(Node node) {
        lostDisks++;
        node.storage = new MemoryStorage();
        node.machine.clear();
        node.applied = 0;
        if (protections.newIdentityAfterLostDisk()) {
            node.id = new ReplicaId(node.name, "new" + lostDisks);
        }
        goDown(node, false);
    }

    private void snapshot(Node node) {
        if (node.applied <= node.storage.snapshotMeta().getIndex()) {
            return;
        }
        ByteString.Output data = ByteString.newOutput();
        try {
            for (LogEntryProto entry : node.machine.values()) {
                entry.writeDelimitedTo(data);
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        node.storage.saveSnapshot(
                SnapshotMetaProto.newBuilder()
                        .setIndex(node.applied)
                        .setTerm(node.storage.termAt(node.applied))
                        .setMembership(node.raft.membershipAt(node.applied))
                        .build(),
                data.toByteString());
    }

    private void boot(Node node) {
        node.raft = Raft.replica(node.id, node.storage)
                .ofGroup(1)
                .timedBy(TIMINGS)
                .ruledBy(protections.rules())
                .randomizedBy(bound -> random.nextInt((int) bound))
                .sendingAtMost(1 + random.nextInt(3))
                .noLeaderContactSince(protections.waitsOutLeases() ? node.downSinceMs : nowMs - LONG_AGO_MS)
                .startingAt(nowMs);
        long snapshotIndex = node.storage.snapshotMeta().getIndex();
        node.machine.tailMap(snapshotIndex, false).clear();
        node.applied = snapshotIndex;
    }

    private void step() {
        nowMs += STEP_MS;
        for (Node node : nodes) {
            bringUp(node);
        }
        deliver();
        for (Node node : nodes) {
            if (node.downUntilMs <= nowMs) {
                drive(node);
            }
        }
        checkLeases();
    }

    private void bringUp(Node node) {
        boolean comesUp = node.downUntilMs != 0 && node.downUntilMs <= nowMs;
        if (!comesUp) {
            return;
        }
        node.downUntilMs = 0;
        if (!node.paused) {
            boot(node);
        }
        node.paused = false;
    }

    private void deliver() {
        while (!network.isEmpty() && network.peek().atMs() <= nowMs) {
            RaftMessageProto message = network.poll().message();
            for (Node node : nodes) {
                boolean isFor = ReplicaId.parse(message.getTo()).name().equals(node.name);
                boolean mayArrive = node.downUntilMs <= nowMs || node.paused;
                if (isFor && mayArrive && node.downUntilMs <= nowMs) {
                    node.raft.receive(message, nowMs);
                }
            }
        }
    }

    private void drive(Node node) {
        node.raft.tick(nowMs);
        if (node.raft.isLeader() && random.nextInt(4) == 0) {
            node.raft.propose(ByteString.copyFromUtf8("c" + nextCommand++));
        }
        node.raft.replicate(nowMs);
        if (node.raft.shouldAskToJoin(nowMs) && random.nextInt(10) == 0) {
            // as a process that knows some seeds, of which perhaps none leads
            node.raft.askToJoin(nodes.get(random.nextInt(nodes.size())).name);
        }
        if (protections.syncsBeforeSending() || random.nextInt(20) == 0) {
            node.storage.sync();
        }
        node.raft.synced();
        node.raft.takeMessages().forEach(this::send);
        node.raft.takeInstalledSnapshot().ifPresent(snapshot -> install(node, snapshot));
        node.raft.takeCommitted().forEach(entry -> commit(node, entry));
        checkLeader(node);
    }

    private void send(RaftMessageProto message) {
        if (random.nextDouble() < lossRate) {
            return;
        }
        network.add(new InFlight(nowMs + random.nextInt(longestDelayMs), nextSequence++, message));
        if (random.nextInt(50) == 0) {
            network.add(new InFlight(nowMs + 200 + random.nextInt(400), nextSequence++, message));
        }
    }

    private void install(Node node, InstalledSnapshot snapshot) {
        node.machine.clear();
        try {
            InputStream input = snapshot.data().newInput();
            LogEntryProto entry = LogEntryProto.parseDelimitedFrom(input);
            while (entry != null) {
                node.machine.put(entry.getIndex(), entry);
                check(entry, node);
                entry = LogEntryProto.parseDelimitedFrom(input);
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        node.applied = snapshot.meta().getIndex();
    }

    private void commit(Node node, LogEntryProto entry) {
        if (entry.getIndex() != node.applied + 1) {
            violations.add(node.id + " applied " + entry.getIndex() + " after " + node.applied);
        }
        node.applied = entry.getIndex();
        node.machine.put(entry.getIndex(), entry);
        check(entry, node);
    }

    private void check(LogEntryProto entry, Node node) {
        LogEntryProto known = committed.putIfAbsent(entry.getIndex(), entry);
        if (known != null && !known.equals(entry)) {
            violations.add(node.id + " committed another entry at " + entry.getIndex() + " of term " + entry.getTerm()
                    + " than that of term " + known.getTerm());
        }
    }

    private void checkLeader(Node node) {
        if (!node.raft.isLeader()) {
            return;
        }
        String known = leaderOfTerm.putIfAbsent(node.raft.term(), node.id.toString());
        if (known != null && !known.equals(node.id.toString())) {
            violations.add("term " + node.raft.term() + " has two leaders: " + known + " and " + node.id);
        }
    }

    private void checkLeases() {
        List<String> holders = new ArrayList<>();
        for (Node node : nodes) {
            boolean isUp = node.downUntilMs <= nowMs || node.paused;
            if (isUp && node.raft.holdsLease(nowMs)) {
                holders.add(node.id.toString());
            }
        }
        if (holders.size() > 1) {
            violations.add("two may decide at once: " + holders);
        }
    }
}
