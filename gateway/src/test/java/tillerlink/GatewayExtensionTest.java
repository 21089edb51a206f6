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

/** What stands beside the module: its calls, and requests whose attempts wait on a guard. */
class GatewayExtensionTest {
  private static final String ID = "00000000000000a1";

  /**
   * Takes /v1/aside/TRACK and hands it in under a guard; answers /v1/later when told to, in a later
   * turn.
   */
  private static final class Aside implements GatewayExtension, GatewayExtension.Guard {
    private final GatewayExtension.ExtensionContext door;
    private final List<Reply> owed = new ArrayList<>();

    /** What the guard answers next; then that it holds. */
    private final ArrayDeque<Boolean> answers = new ArrayDeque<>();

    private final List<String> turns = new ArrayList<>();

    /** What the guard was told of its attempts. */
    private final List<String> told = new ArrayList<>();

    Aside(GatewayExtension.ExtensionContext door) {
      this.door = door;
    }

    @Override
    public void beginIteration(long now) {
      turns.add("begin");
    }

    @Override
    public void endIteration(long now) {
      turns.add("settle");
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
      turns.add("called");
      if (call.path().equals("/v1/later")) {
        owed.add(reply);
        return;
      }
      door.submit(
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
      turns.add("drain");
    }

    @Override
    public void onShutdownDeadline() {
      turns.add("time up");
    }

    @Override
    public void close() {
      turns.add("close");
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
      told.add("began");
    }

    @Override
    public void onAttemptEnded(long mayRunUntil) {
      told.add(
          mayRunUntil == 0 ? "over" : "may run until " + (mayRunUntil - GatewayFixture.STORY) / 10);
    }
  }

  private Aside aside;

  private GatewayFixture stage(GatewayFixture fresh, Boolean... answers) {
    return fresh.beside(
        door -> {
          aside = new Aside(door);
          aside.answers.addAll(List.of(answers));
          return aside;
        });
  }

  @Test
  void itsOwnCalls() {
    GatewayFixture s =
        stage(new GatewayFixture())
            .client("c1", "GET /v1/later HTTP/1.1\r\nHost: a\r\n\r\n")
            .say("the next call waits its turn")
            .client("c1", "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n")
            .pass(2000)
            .answered();
    s.turn(() -> aside.owed.get(0).answer(HttpResponse.done()))
        .say("told twice")
        .turn(() -> aside.owed.get(0).answer(HttpResponse.done()));
    s.say("the client goes before the answer")
        .client("c2", "PUT /v1/later HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
        .breaks("c2", DisconnectReason.CLOSED_BY_PEER)
        .turn(() -> aside.owed.get(1).answer(HttpResponse.done()))
        .answered();
    s.matches("side-calls");
  }

  @Test
  void itsPlaceInATurn() {
    stage(new GatewayFixture())
        .client("c1", "GET /v1/later HTTP/1.1\r\nHost: a\r\n\r\n")
        .drain()
        .timeUp();
    assertEquals(
        List.of("begin", "called", "settle", "drain", "time up"),
        aside.turns.stream().distinct().toList());
  }

  /**
   * Each point at which a guard may cease to hold, on a request class that may run twice and on one
   * that must not.
   */
  @Test
  void guards() {
    GatewayFixture s = new GatewayFixture();
    for (String requestClass : List.of("aside/look", "aside/book")) {
      s.say(requestClass + ": it holds").fresh();
      stage(s)
          .post("c1", ID, requestClass)
          .get("c1", ID)
          .connected(0)
          .engine(0, ID + " ok count=1 0||");
      s.say(requestClass + ": not before anything is written").fresh();
      stage(s, false).post("c1", ID, requestClass).get("c1", ID);
      s.say(requestClass + ": not any more once the connection is up").fresh();
      stage(s, true, false).post("c1", ID, requestClass).get("c1", ID).connected(0);
      s.say(requestClass + ": not any more once it was written").fresh();
      stage(s, true, true, false)
          .post("c1", ID, requestClass)
          .get("c1", ID)
          .connected(0)
          .engine(0, ID + " ok count=1 0||");
      s.say(
              requestClass
                  + ": the answer comes before it is known to be written, and it does not hold")
          .fresh()
          .stuck();
      stage(s, true, true, false)
          .post("c1", ID, requestClass)
          .get("c1", ID)
          .connected(0)
          .engine(0, ID + " ok count=1 0||")
          .letGo();
      s.say(requestClass + ": an earlier hop may have run, the next does not go").fresh();
      stage(s, true, true, true, false)
          .post("c1", ID, requestClass)
          .get("c1", ID)
          .connected(0)
          .ends(0, DisconnectReason.RESET);
      s.say(requestClass + ": an earlier hop surely did not run, the next does not go").fresh();
      stage(s, true, false)
          .post("c1", ID, requestClass)
          .get("c1", ID)
          .ends(0, DisconnectReason.REFUSED);
      s.say(requestClass + ": written in time, it may end").fresh();
      stage(s)
          .post("c1", ID, requestClass)
          .get("c1", ID)
          .connected(0)
          .turn(
              () -> {
                aside.answers.add(false);
                aside.door.recheckGuards();
              })
          .engine(0, ID + " ok count=1 0||");
    }
    s.matches("side-guards");
  }

  private void told(String what, GatewayFixture s, String... wanted) {
    assertEquals(List.of(wanted), aside.told, what);
  }

  private GatewayFixture out(Boolean... answers) {
    return stage(new GatewayFixture(), answers).post("c1", ID, "aside/book").get("c1", ID);
  }

  private static final String DONE = ID + " ok count=1 0||";

  /** Every ending of an attempt that was written, and whether its engine may still be at it. */
  @Test
  void endsAreTold() {
    told("answered", out().connected(0).engine(0, DONE), "began", "over");
    told("its engine erred", out().connected(0).engine(0, ID + " error - 0||"), "began", "over");
    told(
        "of two pages one came, and the client's time is up",
        out().connected(0).engine(0, ID + " ok count=2 0||").pass(5000),
        "began",
        "over");
    told("not written yet", out(), new String[0]);
    told("the guard does not hold", out(false), new String[0]);
    told(
        "the guard does not hold once the connection is up",
        out(true, false).connected(0),
        new String[0]);
    told(
        "never connected",
        out().ends(0, DisconnectReason.REFUSED).ends(1, DisconnectReason.REFUSED),
        new String[0]);
    told(
        "the connection broke",
        out().connected(0).ends(0, DisconnectReason.RESET),
        "began",
        "may run until 4500");
    told(
        "the connection broke before it was written whole",
        out().stuck().connected(0).ends(0, DisconnectReason.RESET),
        "began",
        "over");
    told(
        "the guard does not hold after the write",
        out(true, true, false).connected(0),
        "began",
        "may run until 4500");
    told(
        "it does not hold any more when the answer is there",
        out(true, true, false).stuck().connected(0).engine(0, DONE),
        "began",
        "over");
    told(
        "the client goes",
        out().connected(0).client("c2", "DELETE /v1/calls/" + ID + " HTTP/1.1\r\nHost: a\r\n\r\n"),
        "began",
        "may run until 4500");
    told("the client's time is up", out().connected(0).pass(5000), "began", "may run until 4500");
    told("the process ends", out().connected(0).timeUp(), "began", "may run until 4500");
    told(
        "a pure one goes to another engine",
        stage(new GatewayFixture())
            .post("c1", ID, "aside/look")
            .get("c1", ID)
            .connected(0)
            .ends(0, DisconnectReason.RESET)
            .connected(1)
            .engine(1, DONE),
        "began",
        "may run until 4500",
        "began",
        "over");
  }

  /** Held requests hear of it at once and not only when their turn comes. */
  @Test
  void heldOnes() {
    GatewayFixture s = new GatewayFixture().fleet(0, 1024);
    stage(s)
        .post("c1", ID, "aside/look")
        .get("c1", ID)
        .turn(
            () -> {
              aside.answers.add(false);
              aside.door.recheckGuards();
            })
        .matches("side-held");
  }
}
