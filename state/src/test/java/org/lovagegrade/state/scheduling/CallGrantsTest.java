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
    private static final long LAPSE_MS = 34_000;
    private static final long VIEW_LEASE_MS = 3_000;
    private static final long CALL_MS = 2_000;
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
        List<CallGrantProto> given = grants.grant(entry, List.of(use), List.of(WORKSPACE), members, nowMs);
        return given.isEmpty() ? 0 : given.get(0).getCalls();
    }

    @Test
    void shouldGiveTheWholeLimitToTheOnlyEntryThatWantsIt() {
        // given
        CallGrants grants = new CallGrants(LAPSE_MS, 0);
        Set<String> members = Set.of("e1", "e2");
        grant(grants, "e2", members, use(0, 0, 0), 100);

        // when
        long given = 0;
        for (int i = 0; i < 4; i++) {
            given = grant(grants, "e1", members, use(0, 40, given), 200 + i);
            grant(grants, "e2", members, use(0, 0, 0), 250 + i);
        }

        // then
        assertThat(given).isEqualTo(LIMIT);
    }

    @Test
    void shouldGiveNothingNewWhileAnEntryOfAFormerLeaderIsUnheard() {
        // given
        CallGrants grants = new CallGrants(LAPSE_MS, 0);

        // when
        long early = grant(grants, "e1", Set.of("e1", "e2"), use(0, 5, 0), 100);
        long late = grant(grants, "e1", Set.of("e1", "e2"), use(0, 5, 0), LAPSE_MS + 1);

        // then
        assertThat(early).isEqualTo(0);
        assertThat(late).isGreaterThan(0);
    }

    /** A model of entries that start calls under their grants, lose answers, fall silent and come back. */
    @Property(tries = 500, seed = "7")
    void shouldNeverAllowMoreInFlightThanTheLimit(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        Random random = new Random(seed);
        List<Entry> entries = new ArrayList<>(List.of(new Entry("e1"), new Entry("e2"), new Entry("e3")));
        Set<String> members = Set.of("e1", "e2", "e3");
        CallGrants grants = new CallGrants(LAPSE_MS, 0);
        for (long nowMs = 0; nowMs < 200_000; nowMs += 250) {
            if (random.nextInt(200) == 0) {
                grants = new CallGrants(LAPSE_MS, nowMs);
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
        private long silentUntilMs;

        private Entry(String id) {
            this.id = id;
        }

        private void step(CallGrants grants, Set<String> members, long nowMs, Random random) {
            callEndsMs.removeIf(endMs -> endMs <= nowMs);
            if (random.nextInt(80) == 0) {
                silentUntilMs = nowMs + random.nextInt(60_000);
            }
            int wanted = random.nextInt(12);
            if (nowMs >= silentUntilMs) {
                CallUseProto use = use(callEndsMs.size(), wanted, granted);
                long given = grant(grants, id, members, use, nowMs);
                boolean isAnswerLost = random.nextInt(10) == 0;
                if (!isAnswerLost) {
                    granted = given;
                    leaseUntilMs = nowMs + VIEW_LEASE_MS;
                }
            }
            long allowed = nowMs < leaseUntilMs ? granted : 0;
            while (wanted-- > 0 && callEndsMs.size() < allowed) {
                callEndsMs.add(nowMs + 1 + random.nextInt((int) CALL_MS));
            }
        }
    }
}
