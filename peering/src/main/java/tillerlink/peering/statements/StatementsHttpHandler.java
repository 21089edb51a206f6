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
import tillerlink.peering.json.MalformedRequestException;
import tillerlink.statements.SchemaState;
import tillerlink.statements.Statements;
import tillerlink.statements.run.Permission;
import tillerlink.statements.run.Prepared;

/**
 * The HTTP interface to prepared statements. It handles {@code POST}, {@code DELETE} and {@code
 * GET} of {@code /v1/statements/NAME}, the same methods of {@code /v1/schemas/GROUP}, and {@code
 * POST /v1/run/NAME} with the headers of a request.
 */
public final class StatementsHttpHandler implements HostedComponent {
  /** The component's number in messages between gateways. */
  public static final int NUMBER = 3;

  /** The component's key prefix in the store on disk. */
  public static final String NAME = "statements";

  private static final String STATEMENTS_PATH = "/v1/statements/";
  private static final String SCHEMAS_PATH = "/v1/schemas/";
  private static final String RUN_PATH = "/v1/run/";
  private static final int MAX_GROUP_DIGITS = 9;
  private static final int MAX_CHANGE_DIGITS = 18;
  private static final long ANY_GENERATION = -1;
  private static final long BEHIND_RETRY_MS = 100;

  private final Statements statements;
  private final GatewayExtension.ExtensionContext gateway;
  private final LongSupplier clock;
  private final boolean fence;

  /** The index of the catalog's last applied entry at the last recheck. */
  private long checkedIndex;

  /** The number of lost leases at the last recheck. */
  private long checkedLeaseLosses;

  StatementsHttpHandler(
      Statements statements,
      GatewayExtension.ExtensionContext gateway,
      LongSupplier clock,
      boolean fence) {
    this.statements = statements;
    this.gateway = gateway;
    this.clock = clock;
    this.fence = fence;
  }

  @Override
  public int number() {
    return NUMBER;
  }

  @Override
  public ClusterComponent component() {
    return statements;
  }

  @Override
  public boolean handlesPath(String path) {
    return path.startsWith(STATEMENTS_PATH)
        || path.startsWith(SCHEMAS_PATH)
        || path.startsWith(RUN_PATH);
  }

  /** Rechecks the guards of waiting runs when the catalog or the leases have changed. */
  @Override
  public void onIterationEnd(long now, long wall) {
    long index = statements.catalog().applied();
    if (index != checkedIndex || checkedLeaseLosses != statements.leasesLost()) {
      checkedIndex = index;
      checkedLeaseLosses = statements.leasesLost();
      gateway.recheckGuards();
    }
  }

  @Override
  public void onShutdownDeadline(long now, long wall) {
    statements.failPendingRequests(now);
  }

  @Override
  public void close(long now, long wall) {
    statements.releaseLeases(now);
  }

  @Override
  public void onRequest(long now, long wall, HttpRequest request, GatewayExtension.Reply reply) {
    String path = request.path();
    try {
      if (path.startsWith(STATEMENTS_PATH)) {
        onStatementRequest(now, request, path.substring(STATEMENTS_PATH.length()), reply);
      } else if (path.startsWith(SCHEMAS_PATH)) {
        onSchemaRequest(now, request, path.substring(SCHEMAS_PATH.length()), reply);
      } else {
        onRunRequest(request, path.substring(RUN_PATH.length()), reply);
      }
    } catch (IllegalArgumentException e) {
      // The body is malformed, or the statement does not accept the given values.
      reply.answer(StatementResponses.problem(400, "Malformed", e.getMessage(), 0));
    }
  }

  // ---- statements ----

  private void onStatementRequest(
      long now, HttpRequest request, String name, GatewayExtension.Reply reply) {
    switch (request.method()) {
      case POST -> {
        StatementRequestParser.Preparation preparation =
            StatementRequestParser.parsePreparation(name, request.body());
        statements.prepare(
            now,
            preparation.definition(),
            preparation.replaces(),
            outcome -> reply.answer(StatementResponses.outcome(outcome, "generation")));
      }
      case DELETE ->
          statements.drop(
              now,
              name,
              ANY_GENERATION,
              outcome -> reply.answer(StatementResponses.outcome(outcome, "generation")));
      case GET ->
          reply.answer(
              statements
                  .catalog()
                  .find(name)
                  .map(StatementResponses::statement)
                  .orElseGet(HttpResponse::unknown));
      default -> reply.answer(HttpResponse.problem(405, "Method", 0));
    }
  }

  // ---- schemas ----

  private void onSchemaRequest(
      long now, HttpRequest request, String pathRest, GatewayExtension.Reply reply) {
    int slash = pathRest.indexOf('/');
    String digits = slash < 0 ? pathRest : pathRest.substring(0, slash);
    int group = (int) parseNumber("group", digits, MAX_GROUP_DIGITS);
    switch (request.method()) {
      case POST -> {
        Change change = StatementRequestParser.parseChange(group, request.body());
        statements.announce(
            now, change, outcome -> reply.answer(StatementResponses.outcome(outcome, "change")));
      }
      case DELETE ->
          withdrawChange(now, group, slash < 0 ? "" : pathRest.substring(slash + 1), reply);
      case GET ->
          reply.answer(StatementResponses.schema(statements.schema(group), clock.getAsLong()));
      default -> reply.answer(HttpResponse.problem(405, "Method", 0));
    }
  }

  /**
   * Withdraws a waiting schema change of a table group.
   *
   * @param number the number of the change; empty for the only waiting change, which is refused
   *     unless exactly one waits
   */
  private void withdrawChange(long now, int group, String number, GatewayExtension.Reply reply) {
    SchemaState schema = statements.schema(group);
    if (number.isEmpty() && schema.waiting().size() != 1) {
      reply.answer(
          StatementResponses.problem(409, "Refused", schema.waiting().size() + " changes wait", 0));
      return;
    }
    long change =
        number.isEmpty()
            ? schema.waiting().firstKey()
            : parseNumber("change", number, MAX_CHANGE_DIGITS);
    statements.withdraw(
        now, change, outcome -> reply.answer(StatementResponses.outcome(outcome, "change")));
  }

  private static long parseNumber(String field, String digits, int maxDigits) {
    MalformedRequestException.require(
        !digits.isEmpty()
            && digits.length() <= maxDigits
            && digits.chars().allMatch(digit -> digit >= '0' && digit <= '9'),
        field + ": a number is wanted");
    return Long.parseLong(digits);
  }

  // ---- runs ----

  private void onRunRequest(HttpRequest request, String name, GatewayExtension.Reply reply) {
    if (request.method() != HttpRequest.Method.POST) {
      reply.answer(HttpResponse.problem(405, "Method", 0));
      return;
    }
    StatementRequestParser.Run run = StatementRequestParser.parseRun(request.body());
    Optional<Prepared> statement = statements.lookUp(name);
    if (statement.map(Prepared::generation).orElse(0L) < run.minGeneration()) {
      reply.answer(
          StatementResponses.problem(
              503, "Behind", "this gateway has not heard of that generation", BEHIND_RETRY_MS));
      return;
    }
    if (statement.isEmpty()) {
      reply.answer(HttpResponse.unknown());
      return;
    }
    Prepared prepared = statement.get();
    String text = prepared.text(run.values(), fence);
    if (statements.checkRun(clock.getAsLong(), prepared) instanceof Permission.Denied denied) {
      reply.answer(StatementResponses.rejected(denied));
      return;
    }
    gateway.submit(
        new HttpRequest(
            HttpRequest.Method.POST,
            "/v1/" + prepared.definition().requestClass(),
            request.fields(),
            text.getBytes(StandardCharsets.UTF_8),
            request.closesConnection()),
        new RunGuard(statements, prepared, clock),
        reply);
  }
}
