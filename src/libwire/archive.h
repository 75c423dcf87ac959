#pragma once

#include <cereal/cereal.hpp>

#include <bit>
#include <cstring>
#include <stdexcept>
#include <string>
#include <string_view>

namespace galenaturn::wire {

static_assert(std::endian::native == std::endian::little, "the wire format is little-endian");

/** Writes cereal types into a string, little-endian, without padding. */
class output_archive
    : public cereal::OutputArchive<output_archive, cereal::AllowEmptyClassElision> {
public:
    explicit output_archive(std::string& target) : OutputArchive{this}, target_{target} {}

    void save_binary(const void* data, std::size_t size)
    {
        target_.append(static_cast<const char*>(data), size);
    }

private:
    std::string& target_;
};

/**
 * Reads cereal types from memory. Throws std::runtime_error if the data is truncated, or if a
 * container claims more elements than there are remaining bytes, so that malformed input cannot
 * cause large allocations.
 */
class input_archive : public cereal::InputArchive<input_archive, cereal::AllowEmptyClassElision> {
public:
    explicit input_archive(std::string_view source) : InputArchive{this}, source_{source} {}

    void load_binary(void* data, std::size_t size)
    {
        require(size);
        // An empty container may have no address.
        if (size == 0)
            return;
        std::memcpy(data, source_.data(), size);
        source_.remove_prefix(size);
    }

    /** Throws if fewer than `size` bytes remain. */
    void require(std::size_t size) const
    {
        if (size > source_.size())
            throw std::runtime_error{"message is truncated"};
    }

    [[nodiscard]] std::size_t remaining() const { return source_.size(); }

private:
    std::string_view source_;
};

template <class T, cereal::traits::EnableIf<std::is_arithmetic_v<T>> = cereal::traits::sfinae>
void CEREAL_SAVE_FUNCTION_NAME(output_archive& archive, const T& value)
{
    archive.save_binary(&value, sizeof value);
}

template <class T, cereal::traits::EnableIf<std::is_arithmetic_v<T>> = cereal::traits::sfinae>
void CEREAL_LOAD_FUNCTION_NAME(input_archive& archive, T& value)
{
    archive.load_binary(&value, sizeof value);
}

template <class T>
void CEREAL_SERIALIZE_FUNCTION_NAME(output_archive& archive, cereal::NameValuePair<T>& pair)
{
    archive(pair.value);
}

template <class T>
void CEREAL_SERIALIZE_FUNCTION_NAME(input_archive& archive, cereal::NameValuePair<T>& pair)
{
    archive(pair.value);
}

template <class T>
void CEREAL_SERIALIZE_FUNCTION_NAME(output_archive& archive, cereal::SizeTag<T>& size)
{
    archive(size.size);
}

template <class T>
void CEREAL_SERIALIZE_FUNCTION_NAME(input_archive& archive, cereal::SizeTag<T>& size)
{
    archive(size.size);
    archive.require(static_cast<std::size_t>(size.size));
}

template <class T>
void CEREAL_SAVE_FUNCTION_NAME(output_archive& archive, const cereal::BinaryData<T>& data)
{
    archive.save_binary(data.data, static_cast<std::size_t>(data.size));
}

template <class T>
void CEREAL_LOAD_FUNCTION_NAME(input_archive& archive, cereal::BinaryData<T>& data)
{
    archive.load_binary(data.data, static_cast<std::size_t>(data.size));
}

} // namespace galenaturn::wire

CEREAL_REGISTER_ARCHIVE(galenaturn::wire::output_archive)
CEREAL_REGISTER_ARCHIVE(galenaturn::wire::input_archive)
CEREAL_SETUP_ARCHIVE_TRAITS(galenaturn::wire::input_archive, galenaturn::wire::output_archive)
