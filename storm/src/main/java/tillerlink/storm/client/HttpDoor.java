package tillerlink.storm.client;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Map;
import tillerlink.plain.Json;

/** A client of one gateway. */
public final class HttpDoor {
    private static final HttpClient CLIENT = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(2)).build();

    /** @param comeBackMs what it was told, 0 if nothing */
    public record Reply(int status, String body, long comeBackMs) {
        /** The body as JSON: maps, lists, texts, numbers. */
        public Object json() throws IOException {
            try (JsonParser parser = new JsonFactory().createParser(body)) {
                parser.nextToken();
                return Json.value(parser);
            } catch (IllegalArgumentException e) {
                throw new IOException("not JSON: " + body, e);
            }
        }
    }

    private final String base;
    private final Duration patience;

    /** @param patienceMs how long an answer is waited for */
    public HttpDoor(int port, long patienceMs) {
        base = "http://127.0.0.1:" + port;
        patience = Duration.ofMillis(patienceMs);
    }

    public Reply get(String path) throws IOException {
        return said(to(path).build());
    }

    public Reply post(String path, Map<String, String> headers, String body) throws IOException {
        HttpRequest.Builder request = to(path).POST(HttpRequest.BodyPublishers.ofString(body));
        headers.forEach(request::header);
        return said(request.build());
    }

    private HttpRequest.Builder to(String path) {
        return HttpRequest.newBuilder(URI.create(base + path)).timeout(patience);
    }

    private static Reply said(HttpRequest request) throws IOException {
        try {
            HttpResponse<String> answer = CLIENT.send(request, HttpResponse.BodyHandlers.ofString());
            return new Reply(answer.statusCode(), answer.body(),
                    answer.headers().firstValueAsLong("X-Pushback-Ms").orElse(0));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    /** Whether it says that it is well. */
    public boolean healthy() {
        try {
            return get("/healthz").status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /**
     * Hands in a statement and follows the paths to its last answer.
     *
     * @param id 16 hexadecimal digits
     * @throws IOException if the connection broke: what became of it is not known
     */
    public Reply submit(String track, String id, String statement, long deadlineMs) throws IOException {
        return follow(post("/v1/" + track, Map.of("X-Correlation-Id", id, "X-Deadline-Ms", Long.toString(deadlineMs),
                "X-Estimate-Ms", "5"), statement));
    }

    /** Follows the paths to the last answer. */
    public Reply follow(Reply first) throws IOException {
        Reply reply = first;
        while (reply.body().startsWith("{\"continue\":\"")) {
            reply = get(reply.body().split("\"")[3]);
        }
        return reply;
    }
}
