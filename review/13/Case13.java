import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/** Jobs under the same id in two queues, and of two tenants: all are acknowledged, and only the first is stored. */
final class Case13 {
    private static final int NUMBERS = 5;
    private static final String OTHER_KEY = "key-of-tenant-2";

    /** A job as its client sees it. */
    private record Job(String key, String path, String spec) {}

    private Case13() {}

    public static void main(String[] args) {
        Case.run(args, 3, 2, 3, Case13::play);
    }

    private static List<String> play(Site site, List<Runner> runners, boolean isTroubled) throws Exception {
        site.trace.say("desired state with two queues and two tenants: " + site.configure(state(site), 10_000));
        Site.pause(site.bound("config_apply_ms"));
        List<Job> accepted = new ArrayList<>();
        for (int number = 1; number <= NUMBERS; number++) {
            submit(site, new Job(Site.KEY, "/orders/" + id(number, 0, isTroubled), "order-of-tenant-1"), accepted);
            submit(site, new Job(Site.KEY, "/checks/" + id(number, 1, isTroubled), "check-of-tenant-1"), accepted);
            submit(site, new Job(OTHER_KEY, "/orders/" + id(number, 2, isTroubled), "order-of-tenant-2"), accepted);
            Site.pause(200);
        }
        site.trace.say("end of the traffic; jobs accepted with 2xx: " + accepted.size());
        Site.pause(site.bound("finish_s") * 1_000L);
        List<String> broken = new ArrayList<>();
        for (Job job : accepted) {
            Http.Answer answer = site.client(1, job.key(), "GET", job.path(), "");
            boolean hasRun = Judge.hasRun(job.spec() + "-" + job.path());
            site.trace.add("GET " + job.path() + " with " + job.key() + ": " + answer.status() + " " + answer.body()
                    + "; a task with its spec has begun: " + hasRun);
            if (answer.status() == 410 || !hasRun) {
                broken.add("LOST: the " + job.spec() + " at " + job.path() + " was accepted, nobody cancelled it, and a GET is"
                        + " answered with " + answer.status() + "; a task with its spec has begun: " + hasRun);
            }
        }
        return broken;
    }

    /** Each queue and each tenant counts its jobs on its own; without the trouble, they share one counter. */
    private static String id(int number, int counter, boolean isTroubled) {
        return String.format("%016x", isTroubled ? number : number * 3 + counter);
    }

    private static void submit(Site site, Job job, List<Job> accepted) {
        String body = Site.job(1, 200, 1_000, job.spec() + "-" + job.path());
        int status = site.client(0, job.key(), "POST", job.path(), body).status();
        site.trace.add("POST " + job.path() + " with " + job.key() + ", " + job.spec() + ": " + status);
        if (status >= 200 && status < 300) {
            accepted.add(job);
        }
    }

    private static ObjectNode state(Site site) {
        ObjectNode state = site.desiredState(2);
        ArrayNode routes = (ArrayNode) state.path("routes");
        Site.addRoute(routes, "r-orders", "/orders/");
        Site.addRoute(routes, "r-checks", "/checks/");
        ObjectNode other = ((ArrayNode) state.path("tenants")).addObject();
        other.put("name", "tenant-2").putArray("api_keys").add(OTHER_KEY);
        other.put("priority", 1).put("weight", 30);
        other.putObject("upper_bound").put("cpu", 0).put("mem_mb", 0).put("gpu", 0);
        return state;
    }
}
