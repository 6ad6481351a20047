package org.lovagegrade.replay.report;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeSet;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;
import org.lovagegrade.core.WorkClass;
import org.lovagegrade.replay.internal.ReplayResult;

/** Writes an HTML page with plots that compares policies. */
public final class HtmlReport {
    private static final int WIDTH = 900;
    private static final int HEIGHT = 360;
    private static final int POINTS_PER_CURVE = 200;

    private final String trace;
    private final Map<String, ReplayResult> results = new LinkedHashMap<>();
    private final Map<String, JsonNode> summaries = new LinkedHashMap<>();
    private final StringBuilder page = new StringBuilder();

    private HtmlReport(String trace) {
        this.trace = trace;
    }

    /**
     * Creates a report without results.
     *
     * @param trace the name of the trace
     * @return the report
     */
    public static HtmlReport about(String trace) {
        return new HtmlReport(trace);
    }

    /**
     * Adds the result of a policy.
     *
     * @param policy the policy's name
     * @param result the result of the replay
     * @param summary the summary of the replay
     * @return this report
     */
    public HtmlReport with(String policy, ReplayResult result, JsonNode summary) {
        results.put(policy, result);
        summaries.put(policy, summary);
        return this;
    }

    /**
     * Writes the page; at least one result must have been added.
     *
     * @param folder the folder, created if it does not exist
     * @return the path of the page
     * @throws IOException if the page can't be written
     */
    public Path writeTo(Path folder) throws IOException {
        page.append("<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>")
                .append(escape(trace))
                .append("</title><style>body{font-family:sans-serif;margin:2em;max-width:960px}")
                .append("table{border-collapse:collapse}td,th{border:1px solid #999;padding:.3em .6em;")
                .append("text-align:right}th:first-child,td:first-child{text-align:left}</style></head><body><h1>")
                .append(escape(trace))
                .append("</h1>");
        appendTable();
        ReplayResult first = results.values().iterator().next();
        for (Map.Entry<String, WorkClass> workClass : first.classes().entrySet()) {
            appendWaitChart(workClass.getKey(), workClass.getValue());
        }
        appendPackingChart();
        for (Map.Entry<String, ReplayResult> result : results.entrySet()) {
            appendUseChart(result.getKey(), result.getValue());
        }
        appendShareDistanceChart();
        page.append("</body></html>\n");
        Files.createDirectories(folder);
        return Files.writeString(folder.resolve("index.html"), page);
    }

    private void appendTable() {
        List<String> rows = new ArrayList<>();
        summaries.values().iterator().next().fieldNames().forEachRemaining(rows::add);
        page.append("<table><tr><th>measure</th>");
        summaries
                .keySet()
                .forEach(policy -> page.append("<th>").append(escape(policy)).append("</th>"));
        page.append("</tr>");
        for (String row : rows) {
            appendTableRow(row);
        }
        page.append("</table>");
    }

    private void appendTableRow(String name) {
        JsonNode sample = summaries.values().iterator().next().at("/" + name.replace('.', '/'));
        if (sample.isObject()) {
            sample.fieldNames().forEachRemaining(field -> appendTableRow(name + "." + field));
            return;
        }
        page.append("<tr><td>").append(escape(name)).append("</td>");
        for (JsonNode summary : summaries.values()) {
            JsonNode value = summary.at("/" + name.replace('.', '/'));
            String text =
                    value.isIntegralNumber() ? value.asText() : String.format(Locale.ROOT, "%.3f", value.asDouble());
            page.append("<td>").append(text).append("</td>");
        }
        page.append("</tr>");
    }

    private void appendWaitChart(String id, WorkClass workClass) throws IOException {
        XYChart chart = newChart("Waiting time of class " + id, "fraction of the work", "waiting time (s)");
        for (Map.Entry<String, ReplayResult> result : results.entrySet()) {
            List<Long> waits = result.getValue().waitsMs(id);
            if (!waits.isEmpty()) {
                addWaitCurve(chart, result.getKey(), waits);
            }
        }
        if (workClass.waitTargetMs().isPresent()) {
            double targetSeconds = workClass.waitTargetMs().getAsLong() / 1_000.0;
            chart.addSeries("target", new double[] {0, 1}, new double[] {targetSeconds, targetSeconds})
                    .setMarker(SeriesMarkers.NONE);
        }
        if (!chart.getSeriesMap().isEmpty()) {
            appendImage(BitmapEncoder.getBitmapBytes(chart, BitmapEncoder.BitmapFormat.PNG), chart.getTitle());
        }
    }

    private static void addWaitCurve(XYChart chart, String name, List<Long> sortedMs) {
        int points = Math.min(POINTS_PER_CURVE, sortedMs.size());
        double[] x = new double[points];
        double[] y = new double[points];
        for (int i = 0; i < points; i++) {
            int index = (int) ((long) (sortedMs.size() - 1) * i / Math.max(1, points - 1));
            x[i] = (double) (index + 1) / sortedMs.size();
            y[i] = sortedMs.get(index) / 1_000.0;
        }
        chart.addSeries(name, x, y).setMarker(SeriesMarkers.NONE);
    }

    private void appendPackingChart() throws IOException {
        XYChart chart = newChart("Packing over time", "time (s)", "fraction of the cell");
        results.forEach((policy, result) -> {
            if (!result.sampleTimesSeconds().isEmpty()) {
                chart.addSeries(policy, result.sampleTimesSeconds(), result.packingOverTime())
                        .setMarker(SeriesMarkers.NONE);
            }
        });
        if (!chart.getSeriesMap().isEmpty()) {
            appendImage(BitmapEncoder.getBitmapBytes(chart, BitmapEncoder.BitmapFormat.PNG), chart.getTitle());
        }
    }

    private void appendUseChart(String policy, ReplayResult result) throws IOException {
        if (result.sampleTimesSeconds().isEmpty()) {
            return;
        }
        XYChart chart = newChart("Use per team under " + policy, "time (s)", "fraction of the cell");
        for (String workspace : result.workspaces()) {
            chart.addSeries(workspace, result.sampleTimesSeconds(), result.useOverTime(workspace))
                    .setMarker(SeriesMarkers.NONE);
        }
        appendImage(BitmapEncoder.getBitmapBytes(chart, BitmapEncoder.BitmapFormat.PNG), chart.getTitle());
    }

    private void appendShareDistanceChart() throws IOException {
        CategoryChart chart = new CategoryChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .title("Distance from share")
                .yAxisTitle("mean shortfall, fraction of the cell")
                .build();
        TreeSet<String> workspaces = new TreeSet<>();
        results.values().forEach(result -> workspaces.addAll(result.workspaces()));
        if (workspaces.isEmpty()) {
            return;
        }
        summaries.forEach((policy, summary) -> chart.addSeries(
                policy,
                new ArrayList<>(workspaces),
                workspaces.stream()
                        .map(workspace ->
                                summary.path("shareDistance").path(workspace).asDouble())
                        .toList()));
        appendImage(BitmapEncoder.getBitmapBytes(chart, BitmapEncoder.BitmapFormat.PNG), chart.getTitle());
    }

    private static XYChart newChart(String title, String xTitle, String yTitle) {
        return new XYChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .title(title)
                .xAxisTitle(xTitle)
                .yAxisTitle(yTitle)
                .build();
    }

    private void appendImage(byte[] png, String title) {
        page.append("<p><img alt=\"")
                .append(escape(title))
                .append("\" src=\"data:image/png;base64,")
                .append(Base64.getEncoder().encodeToString(png))
                .append("\"></p>");
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace("\"", "&quot;");
    }
}
