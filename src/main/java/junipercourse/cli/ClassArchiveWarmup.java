package junipercourse.cli;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import com.eclipsesource.json.ParseException;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import junipercourse.config.Config;
import junipercourse.config.ConfigException;
import org.tinylog.Logger;

/**
 * Runs one query of each class end to end, with its own client and engine on loopback, so that the
 * class archive written at exit holds what a dispatcher needs up to its first answer. {@code serve}
 * never loads it.
 */
final class ClassArchiveWarmup {
    /**
     * Maximum silence of the dispatcher, and the timeout of a query; the whole run takes a second.
     */
    private static final int SOCKET_TIMEOUT_MILLIS = 30_000, QUERY_TIMEOUT_MILLIS = 7000;

    private static final int PROTOCOL_VERSION = 196608;
    private static final String ENGINE_EVENTS =
            """
            {"offset":1,"batch":[{"offset":1,"topology":{"complete":true,"members":[{"id":"s-00000001",
            "host_port":"127.0.0.1:%d","locality":"%s","flavor":"%s","cell":0,"phase":"Ready","size":12.0,
            "up_since_ms":0}]}}]}\
            """;
    private static final String TENANTS =
            "[{\"name\":\"acme\",\"portion\":1.0,\"quota_per_s\":50.0}]";
    private static final int HTTP_ACCEPTED = 202;
    private static final int HTTP_OK = 200;
    private static final String RESULT_ROW = "a\tb\tc\n";

    private final JsonObject settings;
    private final Config config;
    private final HttpServer engine;

    /**
     * Reads the configuration file and replaces its tenants and engines by its own.
     *
     * @throws ConfigException if the file cannot be used
     */
    ClassArchiveWarmup(Map<String, String> environment) throws IOException {
        engine = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        engine.createContext("/fetch", ClassArchiveWarmup::serve);
        String configPath = environment.getOrDefault("RELAY_CONFIG", "");
        JsonObject root;
        try {
            root = Json.parse(Files.readString(Path.of(configPath))).asObject();
            settings = root.get("settings").asObject();
            settings.set("tenants", Json.parse(TENANTS));
            String initialEvents =
                    ENGINE_EVENTS.formatted(
                            engine.getAddress().getPort(),
                            firstElement("dcs"),
                            firstElement("kinds"));
            root.set("known", Json.parse(initialEvents))
                    .remove("bus"); // keeps the initial endpoint list
        } catch (IOException e) {
            throw new ConfigException("RELAY_CONFIG", "cannot read " + configPath + " (" + e + ")");
        } catch (ParseException
                | UnsupportedOperationException
                | NullPointerException
                | IndexOutOfBoundsException e) {
            throw new ConfigException(
                    "RELAY_CONFIG", configPath + " has no settings with dcs and kinds: " + e);
        }
        config = Config.parse(root.toString(), environment);
    }

    private String firstElement(String key) {
        return settings.get(key).asArray().get(0).asString();
    }

    /**
     * Returns once all queries are answered.
     *
     * @throws IOException if a query is not answered
     */
    void run() throws IOException {
        DispatcherServer server = new DispatcherServer(config);
        server.reloadOnSighup(Map.of());
        server.installShutdownHook();
        server.start();
        engine.start();
        try (Socket socket = new Socket()) {
            socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
            socket.connect(server.address(), SOCKET_TIMEOUT_MILLIS);
            Client client = new Client(socket);
            client.startSession();
            client.sendQuery("SHOW COUNTERS");
            JsonArray queryClasses = settings.get("grades").asArray();
            for (JsonValue queryClass : queryClasses) {
                client.sendQuery(
                        ("/* kind=%s,req=%016x,timeout=%d,owner=acme,opkey=k,subject=00000000000000aa"
                             + " */ SELECT 1")
                                .formatted(
                                        queryClass.asObject().getString("name", ""),
                                        client.queryCount,
                                        QUERY_TIMEOUT_MILLIS));
            }
            Logger.info("class archive warm-up: {} queries served", queryClasses.size());
        }
    }

    /** Acts as the engine: accepts a query and returns its result at the first poll. */
    private static void serve(HttpExchange exchange) throws IOException {
        try (exchange) {
            if (exchange.getRequestMethod().equals("POST")) {
                exchange.sendResponseHeaders(HTTP_ACCEPTED, -1);
            } else {
                exchange.getResponseHeaders().set("X-Fetches", "1");
                exchange.sendResponseHeaders(HTTP_OK, RESULT_ROW.length());
                exchange.getResponseBody().write(RESULT_ROW.getBytes(StandardCharsets.US_ASCII));
            }
        }
    }

    /** A client of PostgreSQL's simple query protocol. */
    private static final class Client {
        private final DataInputStream input;
        private final DataOutputStream output;
        private int queryCount;

        Client(Socket socket) throws IOException {
            input = new DataInputStream(socket.getInputStream());
            output = new DataOutputStream(socket.getOutputStream());
        }

        void startSession() throws IOException {
            byte[] parameters =
                    "user\0app\0database\0analytics\0\0".getBytes(StandardCharsets.US_ASCII);
            output.writeInt(Integer.BYTES * 2 + parameters.length);
            output.writeInt(PROTOCOL_VERSION);
            output.write(parameters);
            readUntilReady();
        }

        void sendQuery(String statement) throws IOException {
            queryCount++;
            byte[] content = (statement + "\0").getBytes(StandardCharsets.US_ASCII);
            output.write('Q');
            output.writeInt(Integer.BYTES + content.length);
            output.write(content);
            readUntilReady();
        }

        private void readUntilReady() throws IOException {
            String error = null;
            for (int messageType = input.read(); messageType != 'Z'; messageType = input.read()) {
                if (messageType < 0) {
                    throw new IOException(
                            "class archive warm-up: the dispatcher closed the connection");
                }
                byte[] content = input.readNBytes(input.readInt() - Integer.BYTES);
                String body = new String(content, StandardCharsets.US_ASCII);
                error = messageType == 'E' ? body.replace('\0', ' ') : error;
            }
            input.readNBytes(input.readInt() - Integer.BYTES);
            if (error != null) {
                throw new IOException("class archive warm-up: query failed: " + error);
            }
        }
    }
}
