"""Orders to agents for the runs of tasks."""

from bilberrypass.scheduling import messages, state


def make_order(task: state.Task, verb: messages.Verb) -> messages.Order:
    """Return an order for the latest run of a task."""
    key = task.key
    if verb is messages.Verb.STOP:
        return messages.Order(verb, str(key), task.run, task.life)
    step = task.step
    return messages.Order(
        verb,
        str(key),
        task.run,
        task.life,
        task.job.job.spec if verb is messages.Verb.START else "",
        task.checkpoint if verb is messages.Verb.START else "",
        task.ticket,
        step.is_filler,
        step.latency_target_ms,
        step.image,
        step.cpu_milli,
        memory_mb=step.memory_mb,
        gpus=step.gpus,
    )
