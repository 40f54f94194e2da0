package junipercourse.fleet.membership;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Set;
import java.util.stream.LongStream;
import junipercourse.scale.ResultWriter;
import org.junit.jupiter.api.Test;

/**
 * The scenarios of the scale run under the virtual clock, one core, no sockets. A long run, not
 * part of the build: {@code mvn -o -q -B -ntp test -Dtest=VirtualScaleRun -Dscale.out=FILE}, with
 * {@code -Dscale.sizes}, {@code -Dscale.seeds}, {@code -Dscale.plays} and {@code -Dscale.variant}.
 */
class VirtualScaleRun {
    private static final String ALL = "calm,kill,tenth,zone,regions,halves,loss5,loss20";

    @Test
    void thePlaysAtTheSizesGiven() throws Exception {
        Path out = Path.of(System.getProperty("scale.out", "target/world.jsonl"));
        String variant = System.getProperty("scale.variant", "landed");
        Set<String> plays =
                Set.copyOf(Arrays.asList(System.getProperty("scale.plays", ALL).split(",")));
        MembershipSettings settings =
                new MembershipSettingsBuilder().fleetNameLength("hobart".length()).build();
        long[] seeds =
                Arrays.stream(System.getProperty("scale.seeds", "1").split(","))
                        .mapToLong(Long::parseLong)
                        .toArray();
        for (String size : System.getProperty("scale.sizes", "45,90").split(",")) {
            for (long seed : seeds) {
                System.out.println(size + " members, seed " + seed);
                ResultWriter results =
                        new ResultWriter(out, "world", "virtual clock", variant, seed);
                new VirtualScale(settings, Integer.parseInt(size), seed, sink(results)).play(plays);
            }
        }
        assertTrue(Files.size(out) > 0, () -> "seeds " + LongStream.of(seeds).boxed().toList());
    }

    private static VirtualScale.ResultListener sink(ResultWriter results) {
        return new VirtualScale.ResultListener() {
            @Override
            public void onResult(
                    String play,
                    int size,
                    String figure,
                    String unit,
                    double median,
                    double worst,
                    int count) {
                results.add(play, size, figure, unit, median, worst, count);
            }

            @Override
            public void onConverged(String play, int size, double seconds) {
                if (Double.isNaN(seconds)) {
                    results.addInvalid(
                            play,
                            size,
                            "settled",
                            "s",
                            VirtualScale.MAX_CONVERGENCE_SECONDS,
                            VirtualScale.MAX_CONVERGENCE_SECONDS,
                            1,
                            "not settled within " + VirtualScale.MAX_CONVERGENCE_SECONDS + " s");
                } else {
                    results.add(play, size, "settled", "s", seconds, seconds, 1);
                }
            }
        };
    }
}
