package org.lovagegrade.state.scheduling;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import org.lovagegrade.wire.proto.CallGrantProto;
import org.lovagegrade.wire.proto.CallUseProto;
import org.lovagegrade.wire.proto.WorkspaceProto;

final class CallGrantsTest {
    private static final long EXPIRY_MS = 34_000;
    private static final long VIEW_LEASE_MS = 3_000;
    private static final long MAX_CALL_MS = 2_000;
    private static final int LIMIT = 20;
    private static final WorkspaceProto WORKSPACE =
            WorkspaceProto.newBuilder().setId("norte").setLimitCalls(LIMIT).build();

    private static CallUseProto use(long inFlight, long waiting, long granted) {
        return CallUseProto.newBuilder()
                .setWorkspace("norte")
                .setInFlight(inFlight)
                .setWaiting(waiting)
                .setGranted(granted)
                .build();
    }

    private static long grant(CallGrants grants, String entry, Set<String> members, CallUseProto use, long nowMs) {
        List<CallGrantProto> callGrants = grants.grant(entry, List.of(use), List.of(WORKSPACE), members, nowMs);
        return callGrants.isEmpty() ? 0 : callGrants.get(0).getCalls();
    }

    @Test
    void shouldGrantTheWholeLimitToTheOnlyEntryWithDemand() {
        // given
        CallGrants grants = new CallGrants(EXPIRY_MS, 0);
        Set<String> members = Set.of("e1", "e2");
        grant(grants, "e2", members, use(0, 0, 0), 100);

        // when
        long granted = 0;
        for (int i = 0; i < 4; i++) {
            granted = grant(grants, "e1", members, use(0, 40, granted), 200 + i);
            grant(grants, "e2", members, use(0, 0, 0), 250 + i);
        }

        // then
        assertThat(granted).isEqualTo(LIMIT);
    }

    @Test
    void shouldGrantNothingNewUntilUnreportedEntriesOfThePreviousLeaderHaveExpired() {
        // given
        CallGrants grants = new CallGrants(EXPIRY_MS, 0);

        // when
        long beforeExpiry = grant(grants, "e1", Set.of("e1", "e2"), use(0, 5, 0), 100);
        long afterExpiry = grant(grants, "e1", Set.of("e1", "e2"), use(0, 5, 0), EXPIRY_MS + 1);

        // then
        assertThat(beforeExpiry).isEqualTo(0);
        assertThat(afterExpiry).isGreaterThan(0);
    }

    /**
     * Simulates entries that start calls under their grants, lose replies, become unresponsive and return, and leaders
     * that are replaced.
     */
    @Property(tries = 500, seed = "7")
    void shouldNeverAllowMoreInFlightThanTheLimit(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        Random random = new Random(seed);
        List<Entry> entries = new ArrayList<>(List.of(new Entry("e1"), new Entry("e2"), new Entry("e3")));
        Set<String> members = Set.of("e1", "e2", "e3");
        CallGrants grants = new CallGrants(EXPIRY_MS, 0);
        for (long nowMs = 0; nowMs < 200_000; nowMs += 250) {
            if (random.nextInt(200) == 0) {
                grants = new CallGrants(EXPIRY_MS, nowMs);
            }
            int inFlight = 0;
            for (Entry entry : entries) {
                entry.step(grants, members, nowMs, random);
                inFlight += entry.callEndsMs.size();
            }
            assertWithMessage("seed %s at %s ms", seed, nowMs).that(inFlight).isAtMost(LIMIT);
        }
    }

    private static final class Entry {
        private final String id;
        private final List<Long> callEndsMs = new ArrayList<>();
        private long granted;
        private long leaseUntilMs;
        private long unresponsiveUntilMs;

        private Entry(String id) {
            this.id = id;
        }

        private void step(CallGrants grants, Set<String> members, long nowMs, Random random) {
            callEndsMs.removeIf(endMs -> endMs <= nowMs);
            if (random.nextInt(80) == 0) {
                unresponsiveUntilMs = nowMs + random.nextInt(60_000);
            }
            int demand = random.nextInt(12);
            if (nowMs >= unresponsiveUntilMs) {
                CallUseProto use = use(callEndsMs.size(), demand, granted);
                long offered = grant(grants, id, members, use, nowMs);
                boolean isReplyLost = random.nextInt(10) == 0;
                if (!isReplyLost) {
                    granted = offered;
                    leaseUntilMs = nowMs + VIEW_LEASE_MS;
                }
            }
            long allowed = nowMs < leaseUntilMs ? granted : 0;
            while (demand-- > 0 && callEndsMs.size() < allowed) {
                callEndsMs.add(nowMs + 1 + random.nextInt((int) MAX_CALL_MS));
            }
        }
    }
}
