package junipercourse.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class AdminServerTest implements AdminOperations {
    @Override
    public boolean isReady() {
        return true;
    }

    @Override
    public String describeReadiness() {
        return "serves";
    }

    @Override
    public String getStatisticsJson() {
        throw new IllegalStateException("on purpose");
    }

    @Override
    public MaintenanceResult startMaintenance(String id) {
        return MaintenanceResult.UNKNOWN_ENGINE;
    }

    @Override
    public MaintenanceResult endMaintenance(String id) {
        return MaintenanceResult.FAILED;
    }

    private static int requestStatus(AdminServer server, String requestLine) throws IOException {
        try (Socket socket =
                new Socket(server.address().getAddress(), server.address().getPort())) {
            socket.setSoTimeout(1000); // each response is due within a second
            for (byte b :
                    (requestLine + " HTTP/1.1\r\nHost: a\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII)) {
                socket.getOutputStream().write(b);
            }
            String response =
                    new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            return Integer.parseInt(response.split(" ")[1]);
        }
    }

    @Test
    void respondsToFragmentedRequestsWhenIdleConnectionsExceedTheLimit() throws IOException {
        List<Socket> idleSockets = new ArrayList<>();
        try (AdminServer server = new AdminServer(new InetSocketAddress("127.0.0.1", 0), this)) {
            for (int i = 0; i < 200; i++) {
                Socket socket =
                        new Socket(server.address().getAddress(), server.address().getPort());
                socket.getOutputStream().write('G');
                idleSockets.add(socket);
            }
            assertEquals(200, requestStatus(server, "GET /ops/readiness"));
            assertEquals(500, requestStatus(server, "GET /ops/stats"));
            assertEquals(404, requestStatus(server, "POST /ops/engines/down/e"));
            assertEquals(503, requestStatus(server, "POST /ops/engines/up/e"));
            assertEquals(404, requestStatus(server, "GET /ops"));
            assertEquals(405, requestStatus(server, "GET /ops/engines/up/e"));
            idleSockets.get(0).setSoTimeout(1000);
            assertTrue(
                    idleSockets.get(0).getInputStream().read() < 0,
                    "the oldest connection is closed at the limit");
        } finally {
            for (Socket socket : idleSockets) {
                socket.close();
            }
        }
    }
}
