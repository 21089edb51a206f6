package review2;

import java.util.List;
import java.util.StringJoiner;

/** Settings of a small deployment with three classes and two kinds of machine, as JSON. */
public final class Settings {
  private Settings() {}

  /** Returns the settings; `effect` is that of the class `carga`. */
  public static String json(String effect) {
    return ("{'instances':3,'me':0,'tick_us':5000,'az':0,'discovery':'push','models':['comun-8','grande-16'],"
            + "'zones':['norte','sur'],"
            + "'caps':{'max_attempts':5,'may_cancel':true,'second_copies':false,'retry_after':true,"
            + "'max_retry_after_us':800000,'streams_per_conn':32,'connect_timeout_us':250000,"
            + "'conn_idle_us':30000000},"
            + "'family_info':{'kind_cores':[8,16],'tells_every_us':2000000,'width_by_class':[1,2,2]},"
            + "'guarantees':{'drain_grace_us':500000,'extra_floor':3.0,'further_ratio':0.1,"
            + "'budget_span_us':10000000,'fall_multiple':2.5,'fall_us':3000000,'start_capacity':0.25,"
            + "'warm_within_us':10000000,'answer_slack_us':50000},"
            + "'profiles':["
            + "{'name':'consulta','semantics':'repeatable','aim_us':900000,'hard_limit_us':4000000,'worth':1.0,'late_worth':0.25},"
            + "{'name':'informe','semantics':'repeatable','aim_us':4000000,'hard_limit_us':25000000,'worth':4.0,'late_worth':0.5,'models_allowed':[0]},"
            + "{'name':'carga','semantics':'" + effect + "','group':'all','window_us':20000000,'aim_us':4000000,'hard_limit_us':20000000,'worth':4.0,'late_worth':0.5}]}")
        .replace('\'', '"');
  }

  /** Returns the list of the start, as JSON. */
  public static String known(List<Listed> engines) {
    StringJoiner entries = new StringJoiner(",");
    for (Listed engine : engines) {
      entries.add(
          String.format(
              "{\"name\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"%s\",\"type\":\"%s\",\"group\":0,"
                  + "\"status\":\"SERVING\",\"weight\":1,\"since_ms\":0}",
              engine.id(), engine.port(), engine.zone(), engine.kind()));
    }
    return "{\"index\":1,\"updates\":[{\"index\":1,\"endpoints\":{\"index\":1,\"snapshot\":true,\"endpoints\":["
        + entries
        + "]}}]}";
  }
}
