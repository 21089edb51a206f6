package tillerlink;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import tillerlink.net.state.DisconnectReason;
import tillerlink.net.state.GatewayExtension;
import tillerlink.net.wire.HttpRequest;
import tillerlink.net.wire.HttpResponse;

/** An extension of the gateway: its requests, and requests whose attempts are guarded. */
class GatewayExtensionTest {
  private static final String ID = "00000000000000a1";

  /**
   * Handles /v1/aside/CLASS by submitting it under a guard; answers /v1/later when the test does,
   * in a later iteration.
   */
  private static final class RecordingExtension
      implements GatewayExtension, GatewayExtension.Guard {
    private final GatewayExtension.ExtensionContext context;
    private final List<Reply> owed = new ArrayList<>();

    /** What the guard answers next; then that it holds. */
    private final ArrayDeque<Boolean> answers = new ArrayDeque<>();

    private final List<String> calls = new ArrayList<>();

    /** What the guard was notified of. */
    private final List<String> notifications = new ArrayList<>();

    RecordingExtension(GatewayExtension.ExtensionContext context) {
      this.context = context;
    }

    @Override
    public void beginIteration(long now) {
      calls.add("begin");
    }

    @Override
    public void endIteration(long now) {
      calls.add("settle");
    }

    @Override
    public long nextDueAt() {
      return Long.MAX_VALUE;
    }

    @Override
    public boolean handlesPath(String path) {
      return path.startsWith("/v1/aside/") || path.equals("/v1/later");
    }

    @Override
    public void onRequest(HttpRequest call, Reply reply) {
      calls.add("called");
      if (call.path().equals("/v1/later")) {
        owed.add(reply);
        return;
      }
      context.submit(
          new HttpRequest(
              call.method(),
              call.path().replace("aside/", ""),
              call.fields(),
              "EXECUTE".getBytes(StandardCharsets.US_ASCII),
              false),
          this,
          reply);
    }

    @Override
    public void onDrain() {
      calls.add("drain");
    }

    @Override
    public void onShutdownDeadline() {
      calls.add("time up");
    }

    @Override
    public void close() {
      calls.add("close");
    }

    @Override
    public boolean holds() {
      return answers.isEmpty() || answers.poll();
    }

    @Override
    public long retryAfter() {
      return 2000;
    }

    @Override
    public void onAttemptStarted() {
      notifications.add("began");
    }

    @Override
    public void onAttemptEnded(long mayRunUntil) {
      notifications.add(
          mayRunUntil == 0
              ? "over"
              : "may run until " + (mayRunUntil - GatewayFixture.SCENARIO_START) / 10);
    }
  }

  private RecordingExtension extension;

  private GatewayFixture withExtension(GatewayFixture gateway, Boolean... answers) {
    return gateway.withExtension(
        context -> {
          extension = new RecordingExtension(context);
          extension.answers.addAll(List.of(answers));
          return extension;
        });
  }

  @Test
  void extensionRequestsAreAnsweredOnceAndInOrder() {
    GatewayFixture gateway =
        withExtension(new GatewayFixture())
            .clientSends("c1", "GET /v1/later HTTP/1.1\r\nHost: a\r\n\r\n")
            .comment("the next call waits its turn")
            .clientSends("c1", "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n")
            .advance(2000)
            .printWhetherAllAnswered();
    gateway
        .iterate(() -> extension.owed.get(0).answer(HttpResponse.done()))
        .comment("told twice")
        .iterate(() -> extension.owed.get(0).answer(HttpResponse.done()));
    gateway
        .comment("the client goes before the answer")
        .clientSends("c2", "PUT /v1/later HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
        .clientDisconnects("c2", DisconnectReason.CLOSED_BY_PEER)
        .iterate(() -> extension.owed.get(1).answer(HttpResponse.done()))
        .printWhetherAllAnswered();
    gateway.assertMatches("side-calls");
  }

  @Test
  void extensionIsCalledAtEachStepOfAnIteration() {
    withExtension(new GatewayFixture())
        .clientSends("c1", "GET /v1/later HTTP/1.1\r\nHost: a\r\n\r\n")
        .drain()
        .passShutdownDeadline();
    assertEquals(
        List.of("begin", "called", "settle", "drain", "time up"),
        extension.calls.stream().distinct().toList());
  }

  /**
   * Each point at which a guard may cease to hold, on a request class that may run twice and on one
   * that must not.
   */
  @Test
  void anAttemptIsWrittenOnlyWhileItsGuardHolds() {
    GatewayFixture gateway = new GatewayFixture();
    for (String requestClass : List.of("aside/look", "aside/book")) {
      gateway.comment(requestClass + ": it holds").restart();
      withExtension(gateway)
          .post("c1", ID, requestClass)
          .get("c1", ID)
          .engineConnects(0)
          .engineSends(0, ID + " ok count=1 0||");
      gateway.comment(requestClass + ": not before anything is written").restart();
      withExtension(gateway, false).post("c1", ID, requestClass).get("c1", ID);
      gateway.comment(requestClass + ": not any more once the connection is up").restart();
      withExtension(gateway, true, false)
          .post("c1", ID, requestClass)
          .get("c1", ID)
          .engineConnects(0);
      gateway.comment(requestClass + ": not any more once it was written").restart();
      withExtension(gateway, true, true, false)
          .post("c1", ID, requestClass)
          .get("c1", ID)
          .engineConnects(0)
          .engineSends(0, ID + " ok count=1 0||");
      gateway
          .comment(
              requestClass
                  + ": the answer comes before it is known to be written, and it does not hold")
          .restart()
          .blockWrites();
      withExtension(gateway, true, true, false)
          .post("c1", ID, requestClass)
          .get("c1", ID)
          .engineConnects(0)
          .engineSends(0, ID + " ok count=1 0||")
          .unblockWrites();
      gateway
          .comment(requestClass + ": an earlier hop may have run, the next does not go")
          .restart();
      withExtension(gateway, true, true, true, false)
          .post("c1", ID, requestClass)
          .get("c1", ID)
          .engineConnects(0)
          .engineDisconnects(0, DisconnectReason.RESET);
      gateway
          .comment(requestClass + ": an earlier hop surely did not run, the next does not go")
          .restart();
      withExtension(gateway, true, false)
          .post("c1", ID, requestClass)
          .get("c1", ID)
          .engineDisconnects(0, DisconnectReason.REFUSED);
      gateway.comment(requestClass + ": written in time, it may end").restart();
      withExtension(gateway)
          .post("c1", ID, requestClass)
          .get("c1", ID)
          .engineConnects(0)
          .iterate(
              () -> {
                extension.answers.add(false);
                extension.context.recheckGuards();
              })
          .engineSends(0, ID + " ok count=1 0||");
    }
    gateway.assertMatches("side-guards");
  }

  private void assertNotified(String what, Runnable scenario, String... wanted) {
    scenario.run();
    assertEquals(List.of(wanted), extension.notifications, what);
  }

  private GatewayFixture withAttempt(Boolean... answers) {
    return withExtension(new GatewayFixture(), answers).post("c1", ID, "aside/book").get("c1", ID);
  }

  private static final String DONE = ID + " ok count=1 0||";

  /** Every ending of an attempt that was written, and whether its engine may still be at it. */
  @Test
  void theGuardIsNotifiedOfEveryEnding() {
    assertNotified(
        "answered", () -> withAttempt().engineConnects(0).engineSends(0, DONE), "began", "over");
    assertNotified(
        "its engine erred",
        () -> withAttempt().engineConnects(0).engineSends(0, ID + " error - 0||"),
        "began",
        "over");
    assertNotified(
        "of two pages one came, and the client's time is up",
        () -> withAttempt().engineConnects(0).engineSends(0, ID + " ok count=2 0||").advance(5000),
        "began",
        "over");
    assertNotified("not written yet", () -> withAttempt(), new String[0]);
    assertNotified("the guard does not hold", () -> withAttempt(false), new String[0]);
    assertNotified(
        "the guard does not hold once the connection is up",
        () -> withAttempt(true, false).engineConnects(0),
        new String[0]);
    assertNotified(
        "never connected",
        () ->
            withAttempt()
                .engineDisconnects(0, DisconnectReason.REFUSED)
                .engineDisconnects(1, DisconnectReason.REFUSED),
        new String[0]);
    assertNotified(
        "the connection broke",
        () -> withAttempt().engineConnects(0).engineDisconnects(0, DisconnectReason.RESET),
        "began",
        "may run until 4500");
    assertNotified(
        "the connection broke before it was written whole",
        () ->
            withAttempt()
                .blockWrites()
                .engineConnects(0)
                .engineDisconnects(0, DisconnectReason.RESET),
        "began",
        "over");
    assertNotified(
        "the guard does not hold after the write",
        () -> withAttempt(true, true, false).engineConnects(0),
        "began",
        "may run until 4500");
    assertNotified(
        "it does not hold any more when the answer is there",
        () -> withAttempt(true, true, false).blockWrites().engineConnects(0).engineSends(0, DONE),
        "began",
        "over");
    assertNotified(
        "the client goes",
        () ->
            withAttempt()
                .engineConnects(0)
                .clientSends("c2", "DELETE /v1/calls/" + ID + " HTTP/1.1\r\nHost: a\r\n\r\n"),
        "began",
        "may run until 4500");
    assertNotified(
        "the client's time is up",
        () -> withAttempt().engineConnects(0).advance(5000),
        "began",
        "may run until 4500");
    assertNotified(
        "the process ends",
        () -> withAttempt().engineConnects(0).passShutdownDeadline(),
        "began",
        "may run until 4500");
    assertNotified(
        "a pure one goes to another engine",
        () ->
            withExtension(new GatewayFixture())
                .post("c1", ID, "aside/look")
                .get("c1", ID)
                .engineConnects(0)
                .engineDisconnects(0, DisconnectReason.RESET)
                .engineConnects(1)
                .engineSends(1, DONE),
        "began",
        "may run until 4500",
        "began",
        "over");
  }

  /** Queued requests are rejected at once and not only when they would be sent. */
  @Test
  void queuedRequestsAreRejectedOnceTheirGuardFails() {
    GatewayFixture gateway = new GatewayFixture().fleet(0, 1024);
    withExtension(gateway)
        .post("c1", ID, "aside/look")
        .get("c1", ID)
        .iterate(
            () -> {
              extension.answers.add(false);
              extension.context.recheckGuards();
            })
        .assertMatches("side-held");
  }
}
