package junipercourse;

import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

/** Scripted engines with ids from {@code s-00000001} on, and a configuration that lists them. */
public final class StubEngines implements Closeable {
    private static final String ENDPOINT =
            """
            {"id":"s-%08x","host_port":"127.0.0.1:%d","locality":"east","flavor":"std","cell":0,
            "phase":"Ready","size":12.0,"up_since_ms":0}\
            """;
    private static final String ENDPOINT_LIST =
            """
            "offset":1,"batch":[{"offset":1,"topology":{"complete":true,"members":[%s]}}]\
            """;
    private final List<StubEngine> engines = new ArrayList<>();

    public StubEngines(int count, Function<String, String> script) throws IOException {
        for (int i = 0; i < count; i++) {
            engines.add(new StubEngine(script));
        }
    }

    /** Returns an engine by its number, from 1 on. */
    public StubEngine get(int id) {
        return engines.get(id - 1);
    }

    /**
     * Counts the attempts that the engines have read completely, of queries whose id has a prefix.
     */
    public long countAttempts(String idPrefix) {
        return engines.stream()
                .mapToLong(engine -> engine.countCalls("POST /fetch " + idPrefix))
                .sum();
    }

    /** The calls that the engines have read for queries whose text contains their id. */
    public List<String> callsFor(List<String> queries) {
        return engines.stream()
                .flatMap(engine -> engine.calls.stream())
                .filter(call -> queries.stream().anyMatch(query -> query.contains(queryId(call))))
                .toList();
    }

    /** Returns the id of the query that a call is about. */
    public static String queryId(String call) {
        return call.startsWith("POST")
                ? call.substring(call.lastIndexOf(' ') + 1)
                : call.split("/")[2];
    }

    /** A dispatcher configuration with these engines and a quota for many queries. */
    public String dispatcherConfig() {
        List<String> members = new ArrayList<>();
        for (StubEngine engine : engines) {
            members.add(ENDPOINT.formatted(members.size() + 1, engine.address().getPort()));
        }
        return SocketTestSupport.CONFIG
                .replace(
                        "\"offset\":0,\"batch\":[]",
                        ENDPOINT_LIST.formatted(String.join(",", members)))
                .replace("_per_s\":50.0", "_per_s\":5000.0");
    }

    @Override
    public void close() throws IOException {
        for (StubEngine engine : engines) {
            engine.close();
        }
    }
}
