package tillerlink.audit;

import tillerlink.model.Effect;
import tillerlink.workload.RequestClassSpec;

/** What the auditor knows of a request that a gateway has accepted and that is not over. */
final class AuditedRequest {
  private static final long NEVER = Long.MIN_VALUE;

  private final int gateway;
  private final RequestClassSpec requestClass;
  private final long clientDeadline;
  private final String key;
  private Auditor.Answer answer;
  private boolean clientDisconnected;
  private int attempts;
  private int attemptsInFlight;

  /** Attempts that ended without proof that nothing ran. */
  private int attemptsThatMayHaveRun;

  private int executions;

  /** When the first attempt that may have run was sent. */
  private long firstPossibleRunAt = NEVER;

  /**
   * @param clientDeadline tenths of a millisecond
   * @param key the idempotency key, or null
   */
  AuditedRequest(int gateway, RequestClassSpec requestClass, long clientDeadline, String key) {
    this.gateway = gateway;
    this.requestClass = requestClass;
    this.clientDeadline = clientDeadline;
    this.key = key;
  }

  int gateway() {
    return gateway;
  }

  RequestClassSpec requestClass() {
    return requestClass;
  }

  long clientDeadline() {
    return clientDeadline;
  }

  String key() {
    return key;
  }

  boolean isAnswered() {
    return answer != null;
  }

  void onAnswer(Auditor.Answer given) {
    answer = given;
  }

  void onClientDisconnected() {
    clientDisconnected = true;
  }

  /** Whether the client has its answer, or does not wait for it any more. */
  boolean isClosedForClient() {
    return answer != null || clientDisconnected;
  }

  /** Whether nothing more can be said of it. */
  boolean isOver() {
    return attemptsInFlight <= 0 && isClosedForClient();
  }

  boolean isEffectful() {
    return requestClass.effect() == Effect.EFFECTFUL;
  }

  boolean wasSent() {
    return attempts > 0;
  }

  int executions() {
    return executions;
  }

  void onExecuted() {
    executions++;
  }

  boolean mayHaveRun() {
    return attemptsThatMayHaveRun > 0;
  }

  /** Whether an attempt may have run or may be running. */
  boolean mayRunOrHaveRun() {
    return attemptsThatMayHaveRun > 0 || attemptsInFlight > 0;
  }

  /** Whether engines have forgotten by now that they may have run it. */
  boolean isDeduplicationWindowOver(long now) {
    return requestClass.effect() == Effect.RECEIPTED
        && firstPossibleRunAt != NEVER
        && now >= firstPossibleRunAt + requestClass.window();
  }

  void onAttemptSent(long now) {
    attempts++;
    attemptsInFlight++;
    if (firstPossibleRunAt == NEVER) {
      firstPossibleRunAt = now;
    }
  }

  void onAttemptEnded(boolean provesNotExecuted) {
    attemptsInFlight--;
    attemptsThatMayHaveRun += provesNotExecuted ? 0 : 1;
    if (attemptsInFlight == 0 && attemptsThatMayHaveRun == 0) {
      firstPossibleRunAt = NEVER;
    }
  }
}
