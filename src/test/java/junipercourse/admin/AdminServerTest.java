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

    private static int status(AdminServer server, String call) throws IOException {
        try (Socket s = new Socket(server.address().getAddress(), server.address().getPort())) {
            s.setSoTimeout(1000); // each answer is due within a second
            for (byte b :
                    (call + " HTTP/1.1\r\nHost: a\r\n\r\n").getBytes(StandardCharsets.US_ASCII)) {
                s.getOutputStream().write(b);
            }
            String answer =
                    new String(s.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            return Integer.parseInt(answer.split(" ")[1]);
        }
    }

    @Test
    void answersCallsInPiecesBesideHeldConnections() throws IOException {
        List<Socket> held = new ArrayList<>();
        try (AdminServer server = new AdminServer(new InetSocketAddress("127.0.0.1", 0), this)) {
            for (int i = 0; i < 200; i++) {
                Socket s = new Socket(server.address().getAddress(), server.address().getPort());
                s.getOutputStream().write('G');
                held.add(s);
            }
            assertEquals(200, status(server, "GET /ops/readiness"));
            assertEquals(500, status(server, "GET /ops/stats"));
            assertEquals(404, status(server, "POST /ops/engines/down/e"));
            assertEquals(503, status(server, "POST /ops/engines/up/e"));
            assertEquals(404, status(server, "GET /ops"));
            assertEquals(405, status(server, "GET /ops/engines/up/e"));
            held.get(0).setSoTimeout(1000);
            assertTrue(held.get(0).getInputStream().read() < 0, "the oldest has made room");
        } finally {
            for (Socket s : held) {
                s.close();
            }
        }
    }
}
