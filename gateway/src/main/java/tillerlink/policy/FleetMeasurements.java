package tillerlink.policy;

/**
 * What is known and measured of the engines and of the load, as one gateway sees it.
 *
 * @param registry the known engines
 * @param survey sums over the ready engines
 * @param estimator work and time of requests
 * @param reports load reports of engines
 * @param outliers successes and failures of engines
 * @param slowStart warm-up of engines
 */
record FleetMeasurements(
    EngineRegistry registry,
    FleetSurvey survey,
    LoadEstimator estimator,
    LoadReports reports,
    OutlierDetector outliers,
    SlowStart slowStart) {

  /**
   * Measurements of a gateway that knows no engines yet.
   *
   * @param now the time of the gateway's start, in tenths of a millisecond
   */
  static FleetMeasurements create(PolicyConfig config, long now) {
    FleetSurvey survey = new FleetSurvey();
    return new FleetMeasurements(
        new EngineRegistry(config),
        survey,
        new LoadEstimator(config, survey),
        new LoadReports(config),
        new OutlierDetector(config),
        new SlowStart(config, now));
  }
}
