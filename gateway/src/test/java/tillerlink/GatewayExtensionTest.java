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

/** Tests requests that an extension handles itself, and those that it submits under a guard. */
class GatewayExtensionTest {
  private static final String ID = "00000000000000a1";

  /**
   * An extension that submits requests for /v1/aside/CLASS under a guard, keeps requests for
   * /v1/later until the test answers them, and records the calls that it receives.
   */
  private static class RecordingExtension implements GatewayExtension, GatewayExtension.Guard {
    private final GatewayExtension.ExtensionContext context;

    /** The replies to requests for /v1/later. */
    private final List<Reply> pendingReplies = new ArrayList<>();

    /** The next results of the guard's checks; once none is left, the guard holds. */
    private final ArrayDeque<Boolean> guardResults = new ArrayDeque<>();

    /** The calls of the methods that the gateway invokes on the extension. */
    private final List<String> calls = new ArrayList<>();

    /** The starts and ends of attempts of which the guard was notified. */
    private final List<String> notifications = new ArrayList<>();

    RecordingExtension(GatewayExtension.ExtensionContext context) {
      this.context = context;
    }

    @Override
    public void beginIteration(long now) {
      calls.add("beginIteration");
    }

    @Override
    public void endIteration(long now) {
      calls.add("endIteration");
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
    public void onRequest(HttpRequest request, Reply reply) {
      calls.add("onRequest");
      if (request.path().equals("/v1/later")) {
        pendingReplies.add(reply);
        return;
      }
      context.submit(
          new HttpRequest(
              request.method(),
              request.path().replace("aside/", ""),
              request.fields(),
              "EXECUTE".getBytes(StandardCharsets.US_ASCII),
              false),
          this,
          reply);
    }

    @Override
    public void onDrain() {
      calls.add("onDrain");
    }

    @Override
    public void onShutdownDeadline() {
      calls.add("onShutdownDeadline");
    }

    @Override
    public void close() {
      calls.add("close");
    }

    @Override
    public boolean holds() {
      return guardResults.isEmpty() || guardResults.poll();
    }

    @Override
    public long retryAfter() {
      return 2000;
    }

    @Override
    public void onAttemptStarted() {
      notifications.add("started");
    }

    @Override
    public void onAttemptEnded(long mayRunUntil) {
      notifications.add(
          mayRunUntil == 0
              ? "ended"
              : "may run until " + (mayRunUntil - GatewayFixture.SCENARIO_START) / 10);
    }
  }

  /** The submissions that a test makes later than the extension received their requests. */
  private final List<Runnable> pendingSubmissions = new ArrayList<>();

  /** The extension of the gateway in use, created by {@link #withExtension}. */
  private RecordingExtension extension;

  private GatewayFixture withExtension(GatewayFixture gateway, Boolean... guardResults) {
    return gateway.withExtension(
        context -> {
          extension = new RecordingExtension(context);
          extension.guardResults.addAll(List.of(guardResults));
          return extension;
        });
  }

  @Test
  void extensionRequestsAreAnsweredOnceAndInOrder() {
    GatewayFixture gateway =
        withExtension(new GatewayFixture())
            .clientSends("c1", "GET /v1/later HTTP/1.1\r\nHost: a\r\n\r\n")
            .comment("the next request waits until the first is answered")
            .clientSends("c1", "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n")
            .advance(2000)
            .printWhetherAllAnswered();
    gateway
        .iterate(() -> extension.pendingReplies.get(0).answer(HttpResponse.done()))
        .comment("answered twice")
        .iterate(() -> extension.pendingReplies.get(0).answer(HttpResponse.done()));
    gateway
        .comment("the client disconnects before the answer")
        .clientSends("c2", "PUT /v1/later HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
        .clientDisconnects("c2", DisconnectReason.CLOSED_BY_PEER)
        .iterate(() -> extension.pendingReplies.get(1).answer(HttpResponse.done()))
        .printWhetherAllAnswered();
    gateway.assertMatches("side-calls");
  }

  @Test
  void extensionIsCalledAtEachStepOfAnIterationAndOfTheShutdown() {
    withExtension(new GatewayFixture())
        .clientSends("c1", "GET /v1/later HTTP/1.1\r\nHost: a\r\n\r\n")
        .drain()
        .passShutdownDeadline();
    assertEquals(
        List.of("beginIteration", "onRequest", "endIteration", "onDrain", "onShutdownDeadline"),
        extension.calls.stream().distinct().toList());
  }

  /**
   * Guards engines against work that nobody waits for: the client of a request that the extension
   * has submitted disconnects before the attempt is written, or before it is repeated.
   */
  @Test
  void noAttemptBeginsForAClientOfTheExtensionThatHasDisconnected() {
    withExtension(new GatewayFixture())
        .post("c1", ID, "aside/look")
        .clientDisconnects("c1", DisconnectReason.RESET)
        .engineConnects(0);
    assertEquals(List.of(), extension.notifications);
    withExtension(new GatewayFixture())
        .post("c1", ID, "aside/look")
        .engineConnects(0)
        .clientDisconnects("c1", DisconnectReason.CLOSED_BY_PEER)
        .engineSends(0, ID + " refused - 0||")
        .advance(300);
    assertEquals(List.of("started", "ended"), extension.notifications);
  }

  /**
   * Guards requests whose client disconnects before the extension tells it the path of the result:
   * they are cancelled, since nobody can fetch the result.
   */
  @Test
  void requestIsCancelledIfItsClientCannotBeToldThePath() {
    GatewayFixture gateway =
        new GatewayFixture()
            .withExtension(
                context ->
                    extension =
                        new RecordingExtension(context) {
                          @Override
                          public void onRequest(HttpRequest request, Reply reply) {
                            pendingSubmissions.add(() -> super.onRequest(request, reply));
                          }
                        })
            .post("c1", ID, "aside/look")
            .clientDisconnects("c1", DisconnectReason.CLOSED_BY_PEER);
    gateway.iterate(() -> pendingSubmissions.forEach(Runnable::run));
    gateway.get("c2", ID).assertMatches("net-aside-gone");
  }

  /**
   * Covers each point at which a guard may cease to hold, on a request class that may run twice and
   * on one that must not.
   */
  @Test
  void attemptIsWrittenOnlyWhileItsGuardHolds() {
    GatewayFixture gateway = new GatewayFixture();
    for (String requestClass : List.of("aside/look", "aside/book")) {
      gateway.comment(requestClass + ": the guard holds").restart();
      withExtension(gateway)
          .post("c1", ID, requestClass)
          .get("c1", ID)
          .engineConnects(0)
          .engineSends(0, ID + " ok count=1 0||");
      gateway.comment(requestClass + ": the guard does not hold before the write").restart();
      withExtension(gateway, false).post("c1", ID, requestClass).get("c1", ID);
      gateway
          .comment(requestClass + ": the guard no longer holds when the connection opens")
          .restart();
      withExtension(gateway, true, false)
          .post("c1", ID, requestClass)
          .get("c1", ID)
          .engineConnects(0);
      gateway.comment(requestClass + ": the guard no longer holds after the write").restart();
      withExtension(gateway, true, true, false)
          .post("c1", ID, requestClass)
          .get("c1", ID)
          .engineConnects(0)
          .engineSends(0, ID + " ok count=1 0||");
      gateway
          .comment(
              requestClass
                  + ": the response precedes the notice of the write, and the guard does not hold")
          .restart()
          .blockWrites();
      withExtension(gateway, true, true, false)
          .post("c1", ID, requestClass)
          .get("c1", ID)
          .engineConnects(0)
          .engineSends(0, ID + " ok count=1 0||")
          .unblockWrites();
      gateway
          .comment(requestClass + ": an earlier attempt may have run, the next is not written")
          .restart();
      withExtension(gateway, true, true, true, false)
          .post("c1", ID, requestClass)
          .get("c1", ID)
          .engineConnects(0)
          .engineDisconnects(0, DisconnectReason.RESET);
      gateway
          .comment(requestClass + ": an earlier attempt did not run, the next is not written")
          .restart();
      withExtension(gateway, true, false)
          .post("c1", ID, requestClass)
          .get("c1", ID)
          .engineDisconnects(0, DisconnectReason.REFUSED);
      gateway.comment(requestClass + ": written in time, the guard may cease to hold").restart();
      withExtension(gateway)
          .post("c1", ID, requestClass)
          .get("c1", ID)
          .engineConnects(0)
          .iterate(
              () -> {
                extension.guardResults.add(false);
                extension.context.recheckGuards();
              })
          .engineSends(0, ID + " ok count=1 0||");
    }
    gateway.assertMatches("side-guards");
  }

  /** Runs a scenario and compares the notifications that the guard received. */
  private void assertNotified(String description, Runnable scenario, String... expected) {
    scenario.run();
    assertEquals(List.of(expected), extension.notifications, description);
  }

  /** Submits a request under a guard on a new gateway, which makes an attempt of it. */
  private GatewayFixture submitUnderGuard(Boolean... guardResults) {
    return withExtension(new GatewayFixture(), guardResults)
        .post("c1", ID, "aside/book")
        .get("c1", ID);
  }

  private static final String SUCCESS_RESPONSE = ID + " ok count=1 0||";

  /**
   * Covers each way in which an attempt can end. The guard must be notified exactly once of each
   * written attempt, with the time until which its engine may still be executing it.
   */
  @Test
  void guardIsNotifiedWhenAWrittenAttemptEnds() {
    assertNotified(
        "answered",
        () -> submitUnderGuard().engineConnects(0).engineSends(0, SUCCESS_RESPONSE),
        "started",
        "ended");
    assertNotified(
        "the engine responded with an error",
        () -> submitUnderGuard().engineConnects(0).engineSends(0, ID + " error - 0||"),
        "started",
        "ended");
    assertNotified(
        "one of two pages was received when the deadline passed",
        () ->
            submitUnderGuard()
                .engineConnects(0)
                .engineSends(0, ID + " ok count=2 0||")
                .advance(5000),
        "started",
        "ended");
    assertNotified("not yet written", () -> submitUnderGuard(), new String[0]);
    assertNotified("the guard does not hold", () -> submitUnderGuard(false), new String[0]);
    assertNotified(
        "the guard does not hold when the connection has opened",
        () -> submitUnderGuard(true, false).engineConnects(0),
        new String[0]);
    assertNotified(
        "the engine refuses all connections",
        () ->
            submitUnderGuard()
                .engineDisconnects(0, DisconnectReason.REFUSED)
                .engineDisconnects(1, DisconnectReason.REFUSED),
        new String[0]);
    assertNotified(
        "the connection broke",
        () -> submitUnderGuard().engineConnects(0).engineDisconnects(0, DisconnectReason.RESET),
        "started",
        "may run until 4500");
    assertNotified(
        "the connection broke before the attempt was completely written",
        () ->
            submitUnderGuard()
                .blockWrites()
                .engineConnects(0)
                .engineDisconnects(0, DisconnectReason.RESET),
        "started",
        "ended");
    assertNotified(
        "the guard does not hold after the write",
        () -> submitUnderGuard(true, true, false).engineConnects(0),
        "started",
        "may run until 4500");
    assertNotified(
        "the guard does not hold when the response arrives before the write is confirmed",
        () ->
            submitUnderGuard(true, true, false)
                .blockWrites()
                .engineConnects(0)
                .engineSends(0, SUCCESS_RESPONSE),
        "started",
        "ended");
    assertNotified(
        "the client cancels the request",
        () ->
            submitUnderGuard()
                .engineConnects(0)
                .clientSends("c2", "DELETE /v1/calls/" + ID + " HTTP/1.1\r\nHost: a\r\n\r\n"),
        "started",
        "may run until 4500");
    assertNotified(
        "the deadline passes",
        () -> submitUnderGuard().engineConnects(0).advance(5000),
        "started",
        "may run until 4500");
    assertNotified(
        "the time for the shutdown elapses",
        () -> submitUnderGuard().engineConnects(0).passShutdownDeadline(),
        "started",
        "may run until 4500");
    assertNotified(
        "a request without side effects is retried on another engine",
        () ->
            withExtension(new GatewayFixture())
                .post("c1", ID, "aside/look")
                .get("c1", ID)
                .engineConnects(0)
                .engineDisconnects(0, DisconnectReason.RESET)
                .engineConnects(1)
                .engineSends(1, SUCCESS_RESPONSE),
        "started",
        "may run until 4500",
        "started",
        "ended");
  }

  /** Queued requests must be rejected immediately, not only when they would be sent. */
  @Test
  void queuedRequestsAreRejectedOnceTheirGuardFails() {
    GatewayFixture gateway = new GatewayFixture().fleet(0, 1024);
    withExtension(gateway)
        .post("c1", ID, "aside/look")
        .get("c1", ID)
        .iterate(
            () -> {
              extension.guardResults.add(false);
              extension.context.recheckGuards();
            })
        .assertMatches("side-held");
  }
}
