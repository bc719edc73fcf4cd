"""Parses the parts of a request body that routing needs: model, stream flag and prompt blocks."""

from __future__ import annotations

import msgspec
import xxhash

from leverjunction.backends.types import CHAT_PATH
from leverjunction.errors import Execution, Failure, FailureKind, Step

WORDS_PER_BLOCK = 16
MAX_BLOCKS = 512
"""Maximum number of blocks that are hashed; only the start of a longer prompt is compared."""

ASSISTANT_ROLE = "assistant"
_ROOT_PARENT = 0


class ContentPart(msgspec.Struct, frozen=True):
    """A part of a message's content; only parts of type text belong to the prompt prefix."""

    type: str = "text"
    text: str = ""


class Message(msgspec.Struct, frozen=True):
    """A chat message."""

    role: str
    content: str | list[ContentPart] | None = None


class ChatBody(msgspec.Struct, frozen=True, kw_only=True):
    """The fields of a chat completion that the gateway reads."""

    model: str
    messages: list[Message]
    stream: bool = False


class CompletionBody(msgspec.Struct, frozen=True, kw_only=True):
    """The fields of a text completion that the gateway reads."""

    model: str
    prompt: str | list[str]
    stream: bool = False


class ParsedRequest(msgspec.Struct, frozen=True, kw_only=True):
    """The parts of a request body that the gateway uses.

    Attributes:
        model: ``model`` or ``model:adapter``.
        stream: True if the caller requests server-sent events.
        prompt: The prompt's text, in the form that the engine hashes.
        continues: True if the prompt contains an earlier response, so that it continues a
            conversation.
    """

    model: str
    stream: bool
    prompt: str
    continues: bool = False


_CHAT_DECODER = msgspec.json.Decoder(ChatBody)
_COMPLETION_DECODER = msgspec.json.Decoder(CompletionBody)


def parse_request(path: str, body: bytes) -> ParsedRequest | Failure:
    """Validate a request body and return the parts that routing needs.

    Args:
        path: API path, which determines the format of the body.
        body: The request body.

    Returns:
        The parsed request; a failure BAD_REQUEST if the body does not have the expected format.
    """
    try:
        if path == CHAT_PATH:
            chat = _CHAT_DECODER.decode(body)
            return ParsedRequest(
                model=chat.model,
                stream=chat.stream,
                prompt=_chat_text(chat),
                continues=any(message.role == ASSISTANT_ROLE for message in chat.messages),
            )
        text = _COMPLETION_DECODER.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Failure(
            kind=FailureKind.BAD_REQUEST,
            reason=f"the body is not a valid JSON request: {error}",
            step=Step.PARSING,
            execution=Execution.NOT_RUN,
        )
    prompt = text.prompt if isinstance(text.prompt, str) else " ".join(text.prompt)
    return ParsedRequest(model=text.model, stream=text.stream, prompt=prompt)


def _chat_text(body: ChatBody) -> str:
    return " ".join(f"{message.role}: {_content_text(message)}" for message in body.messages)


def _content_text(message: Message) -> str:
    if message.content is None:
        return ""
    if isinstance(message.content, str):
        return message.content
    return " ".join(part.text for part in message.content if part.type == "text")


def block_hashes(prompt: str) -> list[str]:
    """Return the chained hashes of a prompt's complete blocks.

    Each hash covers its block and all blocks before it (docs/BACKENDS.md, cache events).
    """
    words = prompt.split()
    whole_blocks = min(len(words) // WORDS_PER_BLOCK, MAX_BLOCKS)
    parent = _ROOT_PARENT
    hashes = []
    for index in range(whole_blocks):
        block = words[index * WORDS_PER_BLOCK : (index + 1) * WORDS_PER_BLOCK]
        data = parent.to_bytes(8, "big") + " ".join(block).encode()
        parent = xxhash.xxh64_intdigest(data)
        hashes.append(f"{parent:016x}")
    return hashes
