package org.lovagegrade.entry.calls.internal;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import org.lovagegrade.entry.view.ViewKeeper;
import org.lovagegrade.wire.proto.CallUseProto;
import org.lovagegrade.wire.proto.TeamProto;

/** Counts each team's calls in flight from this entry and keeps them within its grant. */
public final class TeamGates {
    private final ViewKeeper views;
    private final Map<String, Long> inFlight = new TreeMap<>();
    private final Map<String, Long> guests = new TreeMap<>();

    /**
     * Creates the gates, all empty.
     *
     * @param views knows shares and grants
     */
    public TeamGates(ViewKeeper views) {
        this.views = views;
    }

    /**
     * Whether a team may have one more call in flight.
     *
     * @param team the team's id
     * @return true if its grant allows it
     */
    public boolean mayEnter(String team) {
        OptionalLong grant = views.grant(team);
        return grant.isEmpty() || inFlight(team) < grant.getAsLong();
    }

    /**
     * Counts a call in.
     *
     * @param team the team's id
     */
    public void enter(String team) {
        inFlight.merge(team, 1L, Long::sum);
    }

    /**
     * Counts a call out.
     *
     * @param team the team's id
     */
    public void leave(String team) {
        inFlight.computeIfPresent(team, (_team, count) -> count > 1 ? count - 1 : null);
    }

    /**
     * Counts in a call that another entry counts against the limit; it uses the share only.
     *
     * @param team the team's id
     */
    public void enterGuest(String team) {
        guests.merge(team, 1L, Long::sum);
    }

    /**
     * Counts out a call that another entry passed on.
     *
     * @param team the team's id
     */
    public void leaveGuest(String team) {
        guests.computeIfPresent(team, (_team, count) -> count > 1 ? count - 1 : null);
    }

    /**
     * A team's calls in flight per unit of its share.
     *
     * @param team the team's id
     * @return lower for a team that is further below its share
     */
    public double useOfShare(String team) {
        double share = views.view().team(team).map(TeamProto::getShare).orElse(0.0);
        long used = inFlight(team) + guests.getOrDefault(team, 0L);
        return share > 0 ? used / share : Double.MAX_VALUE / 2 + used;
    }

    /**
     * The calls in flight of all teams.
     *
     * @return the number
     */
    public long total() {
        return inFlight.values().stream().mapToLong(Long::longValue).sum();
    }

    /**
     * What this entry tells the leader about each team.
     *
     * @param line the calls that wait
     * @return one report per team that has calls, waits or grants
     */
    public List<CallUseProto> uses(WaitingLine line) {
        Set<String> teams = new HashSet<>(inFlight.keySet());
        views.view().config().getTeamsList().stream()
                .filter(TeamProto::hasLimitCalls)
                .forEach(team -> teams.add(team.getId()));
        List<CallUseProto> uses = new ArrayList<>();
        for (String team : teams) {
            uses.add(CallUseProto.newBuilder()
                    .setTeam(team)
                    .setInFlight(inFlight(team))
                    .setWaiting(line.waiting(team))
                    .setGranted(views.lastGrant(team))
                    .build());
        }
        return uses;
    }

    private long inFlight(String team) {
        return inFlight.getOrDefault(team, 0L);
    }
}
