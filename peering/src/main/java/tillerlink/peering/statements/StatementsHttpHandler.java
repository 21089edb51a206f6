package tillerlink.peering.statements;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.LongSupplier;
import tillerlink.cluster.ClusterComponent;
import tillerlink.messages.statements.Change;
import tillerlink.net.state.GatewayExtension;
import tillerlink.net.wire.HttpRequest;
import tillerlink.net.wire.HttpResponse;
import tillerlink.peering.component.HostedComponent;
import tillerlink.statements.SchemaState;
import tillerlink.statements.Statements;
import tillerlink.statements.run.Permission;
import tillerlink.statements.run.Prepared;

/**
 * Prepared statements for clients: {@code POST}, {@code DELETE} and {@code GET
 * /v1/statements/NAME}, the same under {@code /v1/schemas/GROUP}, and {@code POST /v1/run/NAME}
 * with the headers of a request.
 */
public final class StatementsHttpHandler implements HostedComponent {
  /** What messages to this part bear. */
  public static final int NUMBER = 3;

  public static final String NAME = "statements";
  private static final String STATEMENTS = "/v1/statements/";
  private static final String SCHEMAS = "/v1/schemas/";
  private static final String RUN = "/v1/run/";
  private static final int DIGITS_MOST = 9;
  private static final int CHANGE_DIGITS_MOST = 18;
  private static final long BEHIND_COME_BACK = 100;

  private final Statements statements;
  private final GatewayExtension.ExtensionContext door;
  private final LongSupplier clock;
  private final boolean fence;
  private long applied;
  private long losses;

  StatementsHttpHandler(
      Statements statements,
      GatewayExtension.ExtensionContext door,
      LongSupplier clock,
      boolean fence) {
    this.statements = statements;
    this.door = door;
    this.clock = clock;
    this.fence = fence;
  }

  @Override
  public int number() {
    return NUMBER;
  }

  @Override
  public ClusterComponent machine() {
    return statements;
  }

  @Override
  public boolean takes(String path) {
    return path.startsWith(STATEMENTS) || path.startsWith(SCHEMAS) || path.startsWith(RUN);
  }

  /**
   * What the catalog or the leases say has changed: runs that wait are asked about anew, and turned
   * back at once.
   */
  @Override
  public void settled(long now, long wall) {
    long then = statements.catalog().applied();
    if (then != applied || losses != statements.leasesLost()) {
      applied = then;
      losses = statements.leasesLost();
      door.recheckGuards();
    }
  }

  @Override
  public void timeUp(long now, long wall) {
    statements.failPendingRequests(now);
  }

  @Override
  public void close(long now, long wall) {
    statements.releaseLeases(now);
  }

  @Override
  public void called(long now, long wall, HttpRequest call, GatewayExtension.Reply reply) {
    String path = call.path();
    try {
      if (path.startsWith(STATEMENTS)) {
        statement(now, call, path.substring(STATEMENTS.length()), reply);
      } else if (path.startsWith(SCHEMAS)) {
        schema(now, call, path.substring(SCHEMAS.length()), reply);
      } else {
        run(call, path.substring(RUN.length()), reply);
      }
    } catch (IllegalArgumentException e) {
      reply.answer(StatementResponses.problem(400, "Malformed", e.getMessage(), 0));
    }
  }

  // ---- statements ----

  private void statement(long now, HttpRequest call, String name, GatewayExtension.Reply reply) {
    switch (call.method()) {
      case POST -> {
        StatementRequestParser.Preparation it =
            StatementRequestParser.preparation(name, call.body());
        statements.prepare(
            now,
            it.definition(),
            it.over(),
            outcome -> reply.answer(StatementResponses.outcome(outcome, "generation")));
      }
      case DELETE ->
          statements.drop(
              now,
              name,
              -1,
              outcome -> reply.answer(StatementResponses.outcome(outcome, "generation")));
      case GET ->
          reply.answer(
              statements
                  .catalog()
                  .find(name)
                  .map(StatementResponses::standing)
                  .orElseGet(HttpResponse::unknown));
      default -> reply.answer(HttpResponse.problem(405, "Method", 0));
    }
  }

  // ---- schemas ----

  private void schema(long now, HttpRequest call, String rest, GatewayExtension.Reply reply) {
    int slash = rest.indexOf('/');
    int group = (int) number("group", slash < 0 ? rest : rest.substring(0, slash), DIGITS_MOST);
    switch (call.method()) {
      case POST -> {
        Change change = StatementRequestParser.change(group, call.body());
        statements.announce(
            now, change, outcome -> reply.answer(StatementResponses.outcome(outcome, "change")));
      }
      case DELETE -> takeBack(now, group, slash < 0 ? "" : rest.substring(slash + 1), reply);
      case GET ->
          reply.answer(StatementResponses.schema(statements.schema(group), clock.getAsLong()));
      default -> reply.answer(HttpResponse.problem(405, "Method", 0));
    }
  }

  /** Without a number it is the one change that waits; of several one has to be named. */
  private void takeBack(long now, int group, String number, GatewayExtension.Reply reply) {
    SchemaState state = statements.schema(group);
    if (number.isEmpty() && state.waiting().size() != 1) {
      reply.answer(
          StatementResponses.problem(409, "Refused", state.waiting().size() + " changes wait", 0));
      return;
    }
    long change =
        number.isEmpty()
            ? state.waiting().firstKey()
            : number("change", number, CHANGE_DIGITS_MOST);
    statements.withdraw(
        now, change, outcome -> reply.answer(StatementResponses.outcome(outcome, "change")));
  }

  private static long number(String what, String text, int digitsMost) {
    if (text.isEmpty()
        || text.length() > digitsMost
        || !text.chars().allMatch(c -> c >= '0' && c <= '9')) {
      throw new IllegalArgumentException(what + ": a number is wanted");
    }
    return Long.parseLong(text);
  }

  // ---- runs ----

  private void run(HttpRequest call, String name, GatewayExtension.Reply reply) {
    if (call.method() != HttpRequest.Method.POST) {
      reply.answer(HttpResponse.problem(405, "Method", 0));
      return;
    }
    StatementRequestParser.Run run = StatementRequestParser.run(call.body());
    Optional<Prepared> found = statements.lookUp(name);
    boolean behind = found.map(Prepared::generation).orElse(0L) < run.generation();
    if (behind) {
      reply.answer(
          StatementResponses.problem(
              503, "Behind", "this gateway has not heard of that generation", BEHIND_COME_BACK));
      return;
    }
    if (found.isEmpty()) {
      reply.answer(HttpResponse.unknown());
      return;
    }
    Prepared prepared = found.get();
    String text = prepared.text(run.values(), fence);
    if (statements.checkRun(clock.getAsLong(), prepared) instanceof Permission.Denied denied) {
      reply.answer(StatementResponses.rejected(denied));
      return;
    }
    door.submit(
        new HttpRequest(
            HttpRequest.Method.POST,
            "/v1/" + prepared.definition().requestClass(),
            call.fields(),
            text.getBytes(StandardCharsets.UTF_8),
            call.last()),
        new RunGuard(statements, prepared, clock),
        reply);
  }
}
