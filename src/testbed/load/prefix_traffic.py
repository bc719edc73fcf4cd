"""Multi-turn conversations for the prefix experiment: each turn's prompt holds all earlier ones."""

from __future__ import annotations

import random
from dataclasses import dataclass

from testbed.load.workload import WORDS


@dataclass(frozen=True)
class ConversationShape:
    """Sizes and times of conversations; ranges are uniform, times exponential.

    Attributes:
        conversations_per_s: Mean rate of new conversations over the whole fleet (Poisson).
        duration_s: Time in which conversations begin.
        turns_min: Fewest turns.
        turns_max: Most turns.
        think_s: Mean time between an answer and the next turn.
        instructions_tokens: Words that every conversation of a tenant begins with.
        tenants: Tenants, each with instructions of its own.
        first_tokens_min: Fewest words of the first message (a stack trace, a page).
        first_tokens_max: Most words of the first message.
        next_tokens_min: Fewest words of a later message.
        next_tokens_max: Most words of a later message.
        output_min: Fewest tokens of an answer.
        output_max: Most tokens of an answer.
    """

    conversations_per_s: float
    duration_s: float = 60.0
    turns_min: int = 2
    turns_max: int = 6
    think_s: float = 4.0
    instructions_tokens: int = 160
    tenants: int = 8
    first_tokens_min: int = 300
    first_tokens_max: int = 1200
    next_tokens_min: int = 16
    next_tokens_max: int = 96
    output_min: int = 24
    output_max: int = 96


@dataclass(frozen=True)
class Turn:
    """One message of a caller; ``think_s`` passes before it."""

    message: str
    think_s: float
    output_tokens: int


@dataclass(frozen=True)
class Conversation:
    """One caller's conversation, fixed before the run but for the answers."""

    conversation_id: str
    begins_s: float
    instructions: str
    turns: tuple[Turn, ...]


def draw_conversations(shape: ConversationShape, generator: random.Random) -> list[Conversation]:
    """Return the conversations of a run in the order of their beginning."""
    instructions = [
        _words(shape.instructions_tokens, generator, f"tenant{number}")
        for number in range(shape.tenants)
    ]
    conversations: list[Conversation] = []
    begins_s = generator.expovariate(shape.conversations_per_s)
    while begins_s < shape.duration_s:
        conversation_id = f"conversation-{len(conversations)}"
        turns = tuple(
            _turn(shape, conversation_id, number, generator)
            for number in range(generator.randint(shape.turns_min, shape.turns_max))
        )
        conversations.append(
            Conversation(conversation_id, begins_s, generator.choice(instructions), turns)
        )
        begins_s += generator.expovariate(shape.conversations_per_s)
    return conversations


def _turn(
    shape: ConversationShape, conversation_id: str, number: int, generator: random.Random
) -> Turn:
    if number == 0:
        tokens = generator.randint(shape.first_tokens_min, shape.first_tokens_max)
    else:
        tokens = generator.randint(shape.next_tokens_min, shape.next_tokens_max)
    return Turn(
        message=_words(tokens, generator, f"{conversation_id}.{number}"),
        think_s=generator.expovariate(1 / shape.think_s) if number else 0.0,
        output_tokens=generator.randint(shape.output_min, shape.output_max),
    )


def _words(count: int, generator: random.Random, first: str) -> str:
    return " ".join([first, *(generator.choice(WORDS) for _ in range(count - 1))])
